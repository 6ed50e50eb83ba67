/* Sends starts to agents and handles the results. A start is the assignment of one task to an
 * agent; the credits of an agent are the number of starts that it accepts at the moment. */
#ifndef GG_ENTRY_DISPATCH_H
#define GG_ENTRY_DISPATCH_H

#include "entry_board.h"

/* Sends all starts that the scheduler can assign now, batched per agent, and notifies agents
 * without credits of queued demand. Called in each loop iteration. */
void entry_dispatch_run(struct board *board);

/* Handles a batch of results from AGENT. */
void entry_dispatch_receive_results(struct board *board, struct agent *agent,
				    Gg__ResultBatch *batch);

/* Handles the answer to Reconcile. An agent reports a start as sealed if it has not admitted the
 * start and never will. The tasks of sealed starts are queued again. */
void entry_dispatch_receive_reconciled(struct board *board, struct agent *agent,
				       const Gg__Reconciled *answer);

/* Updates the number of starts that the scheduler may assign to AGENT now. The number is 0
 * while AGENT is disconnected, reconciling or paused. */
void entry_dispatch_update_credits(struct board *board, struct agent *agent);

/* Fails all outstanding starts of AGENT with STATUS_AGENT_LOST. Their tasks are not queued again,
 * as they may have run. */
void entry_dispatch_fail_outstanding(struct board *board, struct agent *agent, const char *reason);

/* Returns whether AGENT has an outstanding start that was sent before BEFORE_US. */
bool entry_dispatch_has_start_before(const struct agent *agent, int64_t before_us);

#endif
