/** A scenario being played: it puts stand-ins, clients, processes and faults together, and judges nothing. */
package walkpost.lab.play;
