/*
 * An entry process as the agent sees it: the owner of runs. The agent keeps reports of run ends
 * until their owner acknowledges them.
 *
 * An owner is also a session between the two processes: both keep their state of it across
 * connections, and a run or an end that the agent has dropped with an owner is never taken for one
 * of a later owner with the same incarnation. What was sent on a connection counts only when the
 * entry has confirmed the session on that connection.
 */
#ifndef GG_AGENT_OWNER_H
#define GG_AGENT_OWNER_H

#include "agent_backend.h"
#include "node_link.h"

/* An entry process that owns runs at this agent. */
struct owner {
	uint32_t number; /* of the session; identifies the owner in the table of runs */
	struct ident incarnation;
	struct node_link *link; /* NULL while disconnected */
	int64_t confirmed_us;	/* boot time when the owner last confirmed the session, which it did
				   when it sent the message; at first, when it was added */
	struct message_age age; /* of its messages, over all links */
	bool abandoned;	     /* has not confirmed the session for too long; its runs were stopped */
	uint64_t orders_ack; /* number of the last Orders message handled on this link; 0 if none */
	uint64_t next_report_number; /* number of the next report with ends; other reports have the
					number 0 */
	GQueue unacknowledged_reports; /* sent reports that contain ends */
	GArray *unsent_ends;
	GArray *unsent_progress; /* progress of runs that are far behind their estimate */
	bool status_changed;	 /* a report is due because the free resources, the readiness or the
				    acknowledged orders may have changed */
	int64_t report_sent_us;	 /* time of the last report of any kind */
	uint32_t sent_identity_version; /* presence.identity_version as last sent; 0 if not sent */
	uint64_t sent_holds_version;	/* runs.holds_version as last sent on this link; 0 if not */
	uint32_t service_server_count; /* number of servers of the backend server's service that the
					  entry last reported as reachable; 0 while unknown */
	int64_t retiring_since_us;     /* time when this owner was first requested to send no more
					  starts; 0 if it was not */
};

struct owner *owner_new(uint32_t number, const struct ident *incarnation, int64_t boot_time_us);
void owner_free(struct owner *owner);

/* Add the end or the progress of a run to the next report. */
void owner_add_end(struct owner *owner, const struct run *run, enum run_outcome outcome,
		   int64_t elapsed_us);
void owner_add_progress(struct owner *owner, const struct run *run, int64_t elapsed_us);

/* Sends a report with the free resources, the readiness and the unsent progress. The owner must be
 * connected, as for the other functions that send. */
void owner_send_status(struct owner *owner, struct backend *backend);

/* Sends a numbered report with the unsent ends. */
void owner_send_ends(struct owner *owner, struct backend *backend);

/* Sends the first reports on a new link: all ends that are not acknowledged, because they may have
 * been lost, then the inventory of the owner's runs. */
void owner_send_inventory(struct owner *owner, struct backend *backend);

/* Returns whether the owner has not acknowledged all ends of its runs. */
bool owner_has_unacknowledged_ends(const struct owner *owner);

/* Drops the sent reports up to NUMBER, which the owner has acknowledged. Ignores the number of a
 * report that was not sent. */
void owner_acknowledge(struct owner *owner, uint64_t number);

#endif
