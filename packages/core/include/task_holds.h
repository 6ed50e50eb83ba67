/*
 * Tasks that no entry starts, because an earlier run of them may still go on.
 *
 * Load pattern: a client gets no answer and sends its job again, to another entry, while stops of
 * the first submission's runs are lost or late. That entry knows nothing of those runs, and time
 * alone does not prove that they are over. The agent at whose server such a run may be tells all
 * entries of its task, and tells them again once the run is over.
 */
#ifndef GG_TASK_HOLDS_H
#define GG_TASK_HOLDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ident.h"

/* An agent, or an agent whose holds another entry has passed on. */
struct hold_source;

/* What an agent that another entry has told of says here. */
enum agent_word {
	AGENT_WORD_NONE,    /* nothing */
	AGENT_WORD_PENDING, /* it may not have given up yet what that entry had ordered from it */
	AGENT_WORD_FINAL    /* it tells itself which tasks are held */
};

/* Where holds that were passed on come from. */
struct hold_origin {
	const char *sender; /* the entry process that has passed them on */
	const char *entry;  /* the one whose word they are, if it is another one; otherwise empty */
	struct ident process; /* of the agent */
	const char *agent;    /* its name, which earlier and later processes have, too */
	const char *server;   /* id of its backend server, or empty while it is unknown */
	int64_t since_us;     /* when the agent's process was first named */
};

/* Returns the entry process whose word the holds are. */
const char *hold_origin_entry(const struct hold_origin *origin);

/* The held tasks of one job. */
struct held_indexes;

struct task_holds {
	GHashTable *jobs;   /* job id -> table of task indexes and the numbers of sources */
	GPtrArray *sources; /* struct hold_source * */
	uint64_t changes;   /* incremented when tasks are held or released */
	guint abandoned;    /* number of abandoned sources */
};

/* Names of tasks, as "JOB.OCCURRENCE.STEP.INDEX". */
struct held_tasks {
	char *const *runs; /* tasks of runs that have started, which end with their leases */
	size_t run_count;
	char *const *starts; /* tasks of runs whose start may still reach the server */
	size_t start_count;
};

void task_holds_init(struct task_holds *holds);
void task_holds_free(struct task_holds *holds);

/* Adds a source that holds no tasks. It is freed by task_holds_remove_source or task_holds_free. */
struct hold_source *task_holds_add_source(struct task_holds *holds);
struct hold_source *task_holds_add_passed_source(struct task_holds *holds,
						 const struct hold_origin *origin);
void task_holds_remove_source(struct task_holds *holds, struct hold_source *source);

/* Records the WORD of the agent of SOURCE. While that is AGENT_WORD_FINAL, the tasks are kept, but
 * not held. To be called before the tasks are replaced. */
void task_holds_set_word(struct task_holds *holds, struct hold_source *source,
			 enum agent_word word);

/* Records that PROCESS of an agent is heard here, for the abandoned sources. It speaks for those
 * that were lost at SINCE_US or before, as it has given up the runs by now. Returns whether that
 * has changed what is held. */
bool task_holds_agent_heard(struct task_holds *holds, const struct ident *process,
			    int64_t since_us);

/* Holds the tasks of all sources for PROCESS of an agent, which is not connected here any more
 * since LOST_US. Returns whether there were any. */
bool task_holds_agent_lost(struct task_holds *holds, const struct ident *process, int64_t lost_us);

/* Records that the agent of SOURCE has not been heard since LOST_US, or is heard if that is 0. */
void task_holds_set_lost(struct hold_source *source, int64_t lost_us);

/* Returns since when the agent of SOURCE has not been heard, or 0. */
int64_t task_holds_lost_us(const struct hold_source *source);

/* Returns whether a task of JOB for which IS_WANTED returns true is held for an agent that is not
 * heard, since SINCE_US or longer: nobody can say when the task will be released. */
bool task_holds_await_lost_agent(const struct task_holds *holds, const char *job, int64_t since_us,
				 bool (*is_wanted)(const void *context, uint32_t index),
				 const void *context);

/* Keeps what SOURCE holds until UNTIL_US, as its sender is lost, too, since LOST_US, and frees it
 * when it holds nothing any more. */
void task_holds_abandon_source(struct task_holds *holds, struct hold_source *source,
			       int64_t lost_us, int64_t until_us);

/* Removes the abandoned sources that SENDER has passed on, which is back and names them again.
 * Returns whether they held any tasks. */
bool task_holds_sender_returned(struct task_holds *holds, const char *sender);

/* Calls VISIT for each abandoned source that was passed on. One that is settled holds no tasks. */
void task_holds_foreach_abandoned(const struct task_holds *holds,
				  void (*visit)(void *context, const struct hold_origin *origin,
						const struct hold_source *source),
				  void *context);

/* Stores until when SOURCE holds its runs and starts, or INT64_MAX. */
void task_holds_limits(const struct hold_source *source, int64_t *runs_until_us,
		       int64_t *starts_until_us);

/* Settles the abandoned sources of earlier processes of AGENT, because its PROCESS, which has
 * connected at CONNECTED_US, says that nothing of theirs is unsettled at SERVER. Returns whether
 * they held any tasks. A settled source is kept until its time limits have passed, as other entries
 * may still pass it on. */
bool task_holds_agent_settled(struct task_holds *holds, const char *agent,
			      const struct ident *process, const char *server,
			      int64_t connected_us);

/* Settles the abandoned sources that are the word of ENTRY on PROCESS of an agent, because another
 * entry has. Returns whether they held any tasks. */
bool task_holds_process_settled(struct task_holds *holds, const char *entry,
				const struct ident *process);

/* Returns whether the word of ENTRY on PROCESS is settled. */
bool task_holds_is_settled(const struct task_holds *holds, const char *entry,
			   const struct ident *process);

/* Replaces the tasks that SOURCE holds, until the next call. Returns whether they have changed. Of
 * more tasks than a server can have, the others are ignored. */
bool task_holds_replace(struct task_holds *holds, struct hold_source *source,
			const struct held_tasks *tasks);

/* Limits what SOURCE holds, because it is not connected any more and can't release it: its runs to
 * RUNS_UNTIL_US and its starts to STARTS_UNTIL_US. A limit that is set only gets earlier. */
void task_holds_limit(struct hold_source *source, int64_t runs_until_us, int64_t starts_until_us);

/* Releases the tasks whose time limit has passed. Returns whether there were any. */
bool task_holds_expire(struct task_holds *holds, int64_t now_us);

/* Returns the held tasks of JOB, or NULL if there are none. Valid until the next change. */
const struct held_indexes *task_holds_of_job(const struct task_holds *holds, const char *job);

/* Returns whether the task INDEX is in INDEXES, which may be NULL. */
bool task_holds_index(const struct held_indexes *indexes, uint32_t index);

/* Returns whether the task INDEX of JOB is held. */
bool task_holds_contains(const struct task_holds *holds, const char *job, uint32_t index);

/* Returns the number of tasks that SOURCE holds. */
size_t task_holds_count(const struct hold_source *source);

/* Calls VISIT for the names of all tasks that SOURCE holds. */
void task_holds_foreach(const struct hold_source *source,
			void (*visit)(void *context, const char *task, bool start), void *context);

#endif
