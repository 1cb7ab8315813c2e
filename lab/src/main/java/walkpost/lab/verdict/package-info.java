/**
 * Judging a play from its ledger, after the fact. It shares with the stand-ins no more than the records of what was seen, so
 * that a mistake of theirs is not repeated here.
 */
package walkpost.lab.verdict;
