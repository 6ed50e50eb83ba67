/* Controller that sends starts on credits and takes their results. */
#ifndef GG_ENTRY_DISPATCH_H
#define GG_ENTRY_DISPATCH_H

#include "entry_board.h"

/* Sends every start that can be sent now, one batch an agent, and tells agents of new demand. */
void entry_dispatch_run(struct board *board);

/* Takes results of AGENT. */
void entry_dispatch_receive_results(struct board *board, struct agent *agent,
				    Gg__ResultBatch *batch);

/* Takes the answer to Reconcile. */
void entry_dispatch_receive_reconciled(struct board *board, struct agent *agent,
				       const Gg__Reconciled *answer);

/* Tells the scheduler how many starts AGENT may get now. */
void entry_dispatch_update_credits(struct board *board, struct agent *agent);

/* Fails all outstanding starts of AGENT: they may have run. */
void entry_dispatch_fail_outstanding(struct board *board, struct agent *agent, const char *reason);

/* Returns whether AGENT has a start sent before BEFORE_US. */
bool entry_dispatch_has_start_before(const struct agent *agent, int64_t before_us);

#endif
