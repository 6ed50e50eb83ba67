/* The shared state of the entry. The entry_* modules read and write it on the dispatcher thread,
 * which is its only writer. */
#ifndef GG_ENTRY_BOARD_H
#define GG_ENTRY_BOARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu.h>

#include "burn.h"
#include "channel.h"
#include "claims.h"
#include "config.h"
#include "daemon_settings.h"
#include "entry_jobs.h"
#include "entry_metrics.h"
#include "entry_request.h"
#include "ident.h"
#include "link.h"
#include "logclient.h"
#include "mailbox.h"
#include "scheduler.h"
#include "session.h"
#include "timer.h"

/* One incarnation of an agent and its backend server. */
struct agent {
	struct board *board;
	struct handle self;
	struct handle server; /* handle in the scheduler; none until the agent reports a server */
	struct ident incarnation;
	uint64_t epoch; /* epoch of the connection; messages of other epochs are ignored */
	struct channel_route route;
	struct link link;
	char *id;
	char *zone;
	char *host;
	json_t *labels;
	char **label_strings; /* the labels as "key=value"; the array ends with NULL */
	uint32_t slots;
	uint32_t connections;
	bool open; /* the backend server accepts tasks */
	bool quarantined;
	bool connected; /* a message of this epoch arrived within channel.heartbeat_limit_ms, and no
			   send has failed since */
	bool reconciling; /* starts are withheld until the answer to Reconcile arrives */
	bool lost; /* nothing was received for channel.agent_lost_ms: the agent's starts have failed
		      and its server was removed from the scheduler; the row is kept for the
		      counters of the link */
	int64_t reconcile_sent_us;
	int64_t last_received_us;
	int64_t last_sent_us;
	uint64_t config_version;   /* version last reported by the agent */
	uint64_t last_sent_demand; /* queued demand in the last message sent to the agent */
	uint32_t refusal_streak;   /* consecutive refusals by the backend server */
	struct handle pause_timer;
	bool paused; /* starts are withheld after refusals until pause_timer expires */
	GPtrArray *pending_starts; /* elements: Gg__Start, to be sent in this loop iteration */
};

/* Another entry and the connection of this entry to it. */
struct peer {
	char *address;
	struct channel channel;
	uint64_t epoch;
	bool incarnation_known; /* false until the peer first answers, and again after its
				   incarnation has left */
	bool connected;
	struct ident incarnation;
	char *zone;
	int64_t last_received_us; /* time of the last message on this connection, or of its start */
	int64_t last_contact_us;  /* time of the last message on any connection, or of the addition
				     of the peer */
	int64_t last_sent_us;
};

/* A connection from another entry to this one. */
struct inbound_channel {
	struct ident incarnation;
	struct channel_route route;
	uint64_t epoch;
	int64_t last_received_us;
	int64_t last_sent_us;
};

/* State that HTTP threads read without the dispatcher, protected by RCU. */
struct public_state {
	struct rcu_head rcu;
	bool ready;
	GBytes *config_body; /* response body of GET /v1/config */
};

struct board {
	const struct daemon_settings *settings;
	struct ident incarnation;
	struct mailbox mailbox;
	void *zmq_context;
	struct channel router;
	struct timer_service timers;
	int64_t now_us;
	int64_t latest_wake_us; /* time at which the last poll would have timed out; a much later
				   wakeup means that the process was suspended */
	int64_t started_us;
	int64_t last_agent_joined_us; /* time at which the newest agent joined */
	bool shutdown_finished;	      /* all further requests are refused */
	bool exit_requested;	      /* the dispatcher thread ends after this iteration */

	struct sched *sched;
	struct session_store *sessions;
	GHashTable *session_renewals; /* maps the serial of a session to the token of the session
					 that replaces it */
	struct job_store jobs;

	struct table agents;
	GHashTable *agents_by_incarnation;
	GPtrArray *agents_with_starts; /* agents with pending_starts */
	GPtrArray *peers;
	GHashTable *inbound_channels; /* by incarnation of the other entry */
	GHashTable *ended_entries;    /* incarnations of other entries that have ended */
	int64_t last_entry_ended_us; /* time at which an entry was last found to have ended, or 0 */
	bool entries_changed;	     /* a new list of entries must be sent to the agents */

	GHashTable *forwards;	      /* forwarded requests without a reply, by number */
	GHashTable *key_queries;      /* submissions for whose key the other entries are queried */
	GHashTable *peer_queries;     /* queries to peers without a reply, by number */
	uint64_t last_forward_number; /* shared by forwards and peer_queries */
	GThreadPool *forward_parsers; /* threads that parse requests forwarded by other entries */

	struct log_client *log;
	bool log_available;
	uint64_t last_append_number;

	struct config_replica *config;
	char *config_text;	    /* JSON text of the current configuration */
	GHashTable *config_patches; /* patches that wait for their record, by record id */
	int64_t snapshot_time_ms; /* time of the newest snapshot, or of the first record if there is
				     no snapshot */
	struct public_state *public_state;
	bool ready;

	struct claims *claims;
	GHashTable *claim_keys; /* keys that this entry has claimed or is claiming, by digest */
	bool claims_synced;	/* the claims stream was read to its end at least once */
	int64_t claims_stale_since_us; /* time at which the log service was first found to be
					  unavailable after the last complete read of the claims
					  stream; 0 if it was not */
	char *claims_record;	       /* the record that is being appended, or NULL */
	uint64_t claims_append_number; /* number of the latest attempt to append claims_record */
	GArray *decided_claims; /* digests of the keys decided by the record that is being applied
				 */

	GPtrArray *rule_string_lists; /* strings that the current rules point to */

	struct burn *burn;
	uint64_t wasted_messages_reported;

	bool draining;
	int64_t drain_started_us;
	int64_t last_job_ended_us;
	bool shutdown_forced;
	int finished_fd; /* eventfd that signals the main thread that the shutdown has finished */
};

#endif
