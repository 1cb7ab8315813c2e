/** What was seen in a play, in the order it was seen: written while it happens, read when it is judged. */
package walkpost.lab.ledger;
