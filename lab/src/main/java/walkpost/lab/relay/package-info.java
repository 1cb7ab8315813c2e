/**
 * What lies between processes that are both foreign to the lab, as proxies are to each other: each member is reached at an
 * address of the lab's, over TCP and UDP, and all that passes goes through a model of the way there.
 */
package walkpost.lab.relay;
