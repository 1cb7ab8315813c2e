/** What an experiment asks for, read from a file and checked as a whole, and all that is drawn for one play of it. */
package walkpost.lab.scenario;
