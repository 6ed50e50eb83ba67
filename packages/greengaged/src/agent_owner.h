/* An entry as its agent sees it: owner of runs, and reader of reports that are kept until it has
 * them. */
#ifndef GG_AGENT_OWNER_H
#define GG_AGENT_OWNER_H

#include "agent_backend.h"
#include "node_link.h"

/* One process of an entry, which owns runs here. */
struct owner {
	uint32_t number; /* in the table of runs */
	struct ident incarnation;
	struct node_link *link; /* NULL while it is out of reach */
	int64_t heard_us;	/* last, before the link went down */
	uint64_t orders_ack;
	uint64_t next_report;
	GQueue unacknowledged; /* reports with ends, until they are acknowledged */
	GArray *ends;	       /* ends of its runs, not sent yet */
	GArray *behind;	       /* runs far behind their estimate, not sent yet */
	bool room_dirty;
	bool is_new; /* met for the first time, or forgotten meanwhile */
	int64_t room_sent_us;
	uint32_t identity_version; /* of the backend server, as last sent */
	uint32_t service_servers;  /* servers of this service that the entry reaches; 0: unknown */
	int64_t retiring_us;	   /* since when it is told to send no more work; 0 unless so */
};

struct owner *owner_new(uint32_t number, const struct ident *incarnation);
void owner_free(struct owner *owner);

/* Notes what the next report tells. */
void owner_note_end(struct owner *owner, const struct run *run, enum run_outcome outcome,
		    int64_t elapsed_us);
void owner_note_behind(struct owner *owner, const struct run *run, int64_t elapsed_us);

/* Sends the free room, and what was noted of runs behind. The owner must be linked. */
void owner_send_room(struct owner *owner, struct backend *backend);

/* Sends the ends noted so far. */
void owner_send_ends(struct owner *owner, struct backend *backend);

/* Sends the first reports of a connection: ends that may have been lost, then the runs still known.
 */
void owner_send_inventory(struct owner *owner, struct backend *backend);

/* Returns whether ends of its runs may be unknown to the owner. */
bool owner_has_unread_ends(const struct owner *owner);

/* The owner has handled all reports up to NUMBER. */
void owner_acknowledge(struct owner *owner, uint64_t number);

#endif
