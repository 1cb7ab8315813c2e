/**
 * The lab: a black box that speaks protocols to processes and judges afterwards what was seen. It sees neither the proxy
 * nor the fleet, so that what it finds can't share their mistakes.
 */
package walkpost.lab;
