/** Tile servers that are not there: work on a clock, as BRIEF and PROTOCOL describe it, behind real sockets. */
package walkpost.lab.server;
