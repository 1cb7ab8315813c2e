/**
 * A seeded soak of one real proxy process: sound clients at a steady rate, beside crowds of clients that are slow, unfinished, hasty or
 * hostile, while the process is restarted, reloaded and upgraded. Everything is recorded at the edges and judged afterwards.
 */
package walkpost.lab.soak;
