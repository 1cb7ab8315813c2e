/** Clients, in an open loop, the front that spreads them over the proxies, and peers that don't behave. */
package walkpost.lab.client;
