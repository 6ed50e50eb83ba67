/* What the modules of the runs at a backend server share. */
#ifndef GG_RUNS_STATE_H
#define GG_RUNS_STATE_H

#include "runs.h"

/* Moves RUN to PHASE. */
void runs_set_phase(struct run *run, enum run_phase phase, int64_t now_us);

/* Takes the room of RUN and orders its start. */
void runs_send_start(struct runs *runs, struct run *run, struct handle handle, int64_t now_us);

/* Removes a run that is certainly not running, and reports OUTCOME to its owner. */
void runs_end(struct runs *runs, struct handle handle, enum run_outcome outcome, int64_t now_us);

/* Makes room in the queue for REQUEST by turning away less urgent runs. Returns whether it may
 * wait. */
bool runs_admit_waiting(struct runs *runs, const struct run_request *request, int64_t now_us);

/* Refuses waiting runs that have waited too long, or for a server that takes no starts any more. */
void runs_refuse_waiting(struct runs *runs, int64_t now_us);

#endif
