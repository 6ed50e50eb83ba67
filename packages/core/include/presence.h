/*
 * What an agent believes about its backend server: which incarnation it talks to, the server's
 * identity, its resources and whether it is leaving.
 *
 * Two kinds of messages tell of the server. Its answers to the agent's calls come from the process
 * that listens on its address; only they decide which incarnation is the current one. Heartbeats
 * may come from any sender, and late. A heartbeat counts only if its start time is that of the
 * current incarnation and its clock agrees with the clock in the answers. If it does not, it is
 * kept until the server has answered a call that was made after it arrived: a server that has just
 * restarted is then known by its answer.
 *
 * Load pattern: one wrong or late heartbeat beside the true ones, every few seconds. It must not
 * end runs, hide later heartbeats, add resources or make a leaving server accept starts, and may
 * take a sound server out of use for two heartbeat intervals at most. Only the first heartbeat of
 * an incarnation is believed alone, until the next one.
 */
#ifndef GG_PRESENCE_H
#define GG_PRESENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_defs.h"
#include "runs.h"

enum {
	PRESENCE_LABELS_MAX = 8,
	PRESENCE_UNCONFIRMED_MAX = 4 /* unconfirmed heartbeats that are kept */
};

struct server_identity {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char zone[NAME_BYTES];
	char labels[PRESENCE_LABELS_MAX][NAME_BYTES];
	size_t label_count;
};

struct heartbeat {
	struct server_identity identity;
	struct resources capacity;
	bool draining;
	int64_t start_time_ms; /* identifies the incarnation; 0 if absent */
	int64_t clock_ms;      /* the server's monotonic clock; 0 if absent */
	uint64_t sequence;     /* increases within an incarnation */
	int64_t remaining_ms;  /* minimum time until a draining server exits; 0 if absent */
	int64_t received_us;
};

/* The fields of an answer of the server that tell of its process. */
struct server_answer {
	int64_t start_time_ms; /* 0 if absent */
	int64_t clock_ms;      /* 0 if absent */
	uint64_t connection;   /* number of its connection; later ones have higher numbers */
	int64_t received_us;
};

enum answer_origin {
	ANSWER_CURRENT,
	ANSWER_NEW_INCARNATION, /* the previous process has ended */
	ANSWER_OLD,		/* from a process that has been replaced since */
	ANSWER_CONTRADICTS	/* its connection has stated another start time before */
};

enum heartbeat_verdict {
	HEARTBEAT_ACCEPTED,
	HEARTBEAT_UNCONFIRMED,	     /* kept until the next answer */
	HEARTBEAT_SUPERSEDED,	     /* a later one was accepted before */
	HEARTBEAT_OTHER_INCARNATION, /* the server's answer states another start time */
	HEARTBEAT_CLOCK_AHEAD,	     /* its clock is ahead of the server's */
	HEARTBEAT_OTHER_IDENTITY     /* most heartbeats state another identity */
};

struct presence {
	/* From the server's answers. */
	bool answered;
	int64_t start_time_ms; /* identifies the current incarnation; 0 while unknown */
	uint64_t connection;   /* latest connection on which that incarnation has stated its start
				  time */
	int64_t clock_ms;      /* the server's monotonic clock in its last answer; 0 if unknown */
	int64_t clock_received_us;
	/* From accepted heartbeats of the current incarnation. */
	bool heartbeat_seen;
	struct server_identity identity;
	uint32_t identity_votes;   /* heartbeats that agree with IDENTITY, less those that do not;
				      0 if it is in doubt */
	uint32_t identity_version; /* incremented when IDENTITY or RESOURCES change */
	struct resources resources;
	bool leaving;
	struct heartbeat last; /* the heartbeat accepted last */
	struct heartbeat unconfirmed[PRESENCE_UNCONFIRMED_MAX];
	size_t unconfirmed_count;
};

/* Returns the stable name of VERDICT for logs. */
const char *heartbeat_verdict_name(enum heartbeat_verdict verdict);

/* Records an answer. The connections order the incarnations, since start times are taken from a
 * clock that may be set back: of two processes, the later one has accepted the later connection. An
 * answer without a start time tells nothing of the process, once a start time is known. */
enum answer_origin presence_on_answer(struct presence *presence,
				      const struct server_answer *answer);

/* Judges a heartbeat, and applies it if the verdict is HEARTBEAT_ACCEPTED. After
 * HEARTBEAT_UNCONFIRMED, call the server and pass on its answer. */
enum heartbeat_verdict presence_on_heartbeat(struct presence *presence,
					     const struct heartbeat *heartbeat, int64_t now_us);

/* Judges an unconfirmed heartbeat after an answer to a call made at ASKED_US. Call it until it
 * returns false. Heartbeats that the answer can't decide, because they arrived later than
 * ASKED_US, are kept. */
bool presence_next_confirmed(struct presence *presence, int64_t asked_us, int64_t now_us,
			     struct heartbeat *heartbeat, enum heartbeat_verdict *verdict);

/* Records that the server ID deregistered. START_TIME_MS is 0 if absent. Returns false if this is
 * not the current incarnation. */
bool presence_on_deregistration(struct presence *presence, const char *id, int64_t start_time_ms);

/* Records that the server has rejected ID. If it is the one in IDENTITY, returns true, and the next
 * heartbeat states the identity anew. */
bool presence_on_id_rejected(struct presence *presence, const char *id);

/* Returns the current time of the server's clock, in ms. */
int64_t presence_clock_ms(const struct presence *presence, int64_t now_us);

/* Returns the same if the clock has been slow by DRIFT_PERMILLE since the last answer. A lease
 * until some time after that is not longer than meant, however long the server has not answered. */
int64_t presence_slow_clock_ms(const struct presence *presence, uint32_t drift_permille,
			       int64_t now_us);

/* Returns whether the server's identity is known: a heartbeat of the current incarnation was
 * accepted, and not as many others contradict it. */
bool presence_is_known(const struct presence *presence);

/* Returns whether the last heartbeat was delayed. A restarted agent does not know the earlier
 * heartbeats, so a delayed one could make a server that has left meanwhile appear present. */
bool presence_is_late(const struct presence *presence);

#endif
