/** The fleet's sockets, threads, timers, files and clocks: the only I/O of the module. */
package walkpost.fleet.shell;
