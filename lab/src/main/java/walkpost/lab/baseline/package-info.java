/**
 * Proxies of the lab's own: plain ones with textbook choices and one that sees the true state, to measure against; and
 * deliberately wrong ones, to see that the checker finds what they do.
 */
package walkpost.lab.baseline;
