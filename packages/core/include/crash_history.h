/*
 * Tasks under which backend servers have crashed recently, at this entry or at another one.
 *
 * A task may crash every server that starts it. A client that gets no answer sends the job again,
 * possibly to another entry, so the count of a task outlives its job and is told to all entries.
 */
#ifndef GG_CRASH_HISTORY_H
#define GG_CRASH_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	CRASH_RECORD_MAX_SERVERS = 8 /* further ones are not recorded */
};

struct crash_record {
	char *task;	    /* job id, a dot and the index of the task */
	GPtrArray *servers; /* ids (char *) of the servers that crashed under the task, each once */
	uint32_t early;	    /* those seen here that crashed soon after the start of the run */
	int64_t crashed_us; /* time of the last crash */
	uint64_t sequence;  /* position in the order of changes, from 1 */
	bool crashed_here;  /* false: all crashes were reported by other entries */
};

struct crash_history {
	int64_t retention_us;
	uint32_t max_tasks;
	uint64_t last_sequence;
	GHashTable *by_task; /* name -> struct crash_record * */
	GQueue by_age;	     /* struct crash_record *, the longest unchanged first */
};

/* Initializes HISTORY to keep tasks for RETENTION_US after the last crash. The oldest are removed
 * when there are more than MAX_TASKS; the newest one is always kept. */
void crash_history_init(struct crash_history *history, int64_t retention_us, uint32_t max_tasks);
void crash_history_free(struct crash_history *history);

/* Records that SERVER crashed while a run of the task INDEX of JOB may have been running there,
 * EARLY tells whether soon after its start. Returns the record, valid until the next change. */
const struct crash_record *crash_history_add(struct crash_history *history, const char *job,
					     uint32_t index, const char *server, bool early,
					     int64_t now_us);

/* Records that SERVER crashed under TASK, as another entry has reported. Does nothing if that is
 * known. */
void crash_history_merge(struct crash_history *history, const char *task, const char *server,
			 int64_t now_us);

/* Returns the record of a task, or NULL if no server has crashed under it within the retention
 * time.
 */
const struct crash_record *crash_history_find(const struct crash_history *history, const char *job,
					      uint32_t index, int64_t now_us);

/* Removes what crash_history_add has recorded with the same arguments, here but not at the entries
 * that were told of it. */
void crash_history_remove(struct crash_history *history, const char *job, uint32_t index,
			  const char *server, bool early);

/* Returns the number of servers that have crashed under a task within the retention time. */
uint32_t crash_history_count(const struct crash_history *history, const char *job, uint32_t index,
			     int64_t now_us);

/* Appends the records to RECORDS, an array of const struct crash_record *, that changed after
 * SEQUENCE and of which a crash was seen at this entry; with 0 for SEQUENCE all records. Returns
 * the last sequence number covered, to be passed to the next call. */
uint64_t crash_history_since(const struct crash_history *history, uint64_t sequence,
			     GPtrArray *records);

/* Returns the ids of the servers of RECORD, separated by spaces. The caller frees them. */
char *crash_record_server_names(const struct crash_record *record);

#endif
