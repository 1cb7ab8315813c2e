/** What can be said of plays in pairs. */
package walkpost.lab.stats;
