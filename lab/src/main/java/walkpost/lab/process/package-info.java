/** The processes under test: started so that they hear every signal and never outlive the lab, and watched from outside. */
package walkpost.lab.process;
