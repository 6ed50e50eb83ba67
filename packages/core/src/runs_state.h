/* Functions shared by runs.c and runs_waiting.c. */
#ifndef GG_RUNS_STATE_H
#define GG_RUNS_STATE_H

#include "runs.h"

/* Sets the phase of RUN, which begins at NOW_US. */
void runs_set_phase(struct run *run, enum run_phase phase, int64_t now_us);

/* Reserves the resources of RUN and orders its start. */
void runs_send_start(struct runs *runs, struct run *run, struct handle handle, int64_t now_us);

/* Removes a run that is certainly not running, and reports OUTCOME unless it has no owner. */
void runs_end(struct runs *runs, struct handle handle, enum run_outcome outcome, int64_t now_us);

/* Refuses less urgent waiting runs until REQUEST fits into the queue. Returns whether it fits. */
bool runs_make_queue_space(struct runs *runs, const struct run_request *request, int64_t now_us);

/* Refuses runs that have waited too long or exceed a capacity that has shrunk, or all waiting runs
 * if the server accepts no starts. */
void runs_refuse_waiting(struct runs *runs, int64_t now_us);

/* The runs that the server has said to be over, for as long as a late list may show them. It never
 * runs an attempt again that is not higher than one that has ended there. */
void runs_ended_init(struct runs *runs);
void runs_ended_free(struct runs *runs);
void runs_ended_clear(struct runs *runs);
void runs_ended_add(struct runs *runs, const char *task, uint32_t attempt, int64_t now_us);
bool runs_ended_contains(const struct runs *runs, const char *task, uint32_t attempt);
void runs_ended_expire(struct runs *runs, int64_t now_us);

#endif
