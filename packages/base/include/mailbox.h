/* Hand-over queue from many threads to one: a wait-free queue with an eventfd that the reader can
 * poll. */
#ifndef GG_MAILBOX_H
#define GG_MAILBOX_H

#include <urcu/wfcqueue.h>

#include "status.h"

/* Embedded in each item that is handed over. */
struct mailbox_node {
	struct cds_wfcq_node node;
};

struct mailbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int event_fd;
	int armed; /* set by the reader before it sleeps; a sender that clears it writes to event_fd
		    */
};

/* Makes MAILBOX empty. Returns STATUS_RESOURCE when no eventfd can be had. */
enum status mailbox_init(struct mailbox *mailbox, struct error *err);

/* Closes the eventfd. Items still queued are not freed. */
void mailbox_free(struct mailbox *mailbox);

/* Queues NODE and wakes the reader if it sleeps. May be called from any thread. */
void mailbox_send(struct mailbox *mailbox, struct mailbox_node *node);

/* Takes the oldest item, or returns NULL when there is none. Reader only. */
struct mailbox_node *mailbox_take(struct mailbox *mailbox);

/*
 * Prepares the reader to sleep on event_fd. Returns false when items are queued, in which case the
 * reader must not sleep. After waking, the reader calls mailbox_disarm. Reader only.
 */
bool mailbox_arm(struct mailbox *mailbox);

/* Ends the sleep and drains event_fd. Reader only. */
void mailbox_disarm(struct mailbox *mailbox);

/* Returns the file descriptor that becomes readable when an item arrives after mailbox_arm. */
int mailbox_fd(const struct mailbox *mailbox);

#endif
