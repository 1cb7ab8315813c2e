/** The network between the lab and the processes: latency, silence and resets of single pairs, and where parties listen. */
package walkpost.lab.net;
