/** A play as one page for people, from its folder alone. */
package walkpost.lab.report;
