/** The service that lists the tile servers, as PROTOCOL has it: one for all proxies, late, and easily overbooked. */
package walkpost.lab.discovery;
