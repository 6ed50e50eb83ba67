/* Multi-producer, single-consumer queue: wait-free enqueueing, and an eventfd that the receiving
 * thread can poll. */
#ifndef GG_MAILBOX_H
#define GG_MAILBOX_H

#include <urcu/wfcqueue.h>

#include "status.h"

/* Link embedded in each queued item. */
struct mailbox_node {
	struct cds_wfcq_node node;
};

struct mailbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int event_fd;
	/* Set by the receiver before it sleeps. The sender that clears it writes to event_fd. */
	int wakeup_requested;
};

/* Initializes MAILBOX as empty. Returns STATUS_RESOURCE if no eventfd can be created. */
enum status mailbox_init(struct mailbox *mailbox, struct error *err);

/* Closes the eventfd. Items still queued are not freed. */
void mailbox_free(struct mailbox *mailbox);

/* Queues NODE and wakes the receiver if it called mailbox_arm. May be called from any thread. */
void mailbox_send(struct mailbox *mailbox, struct mailbox_node *node);

/* Removes the oldest item and returns its node, or NULL if there is none. Waits briefly for a
 * sender that is in the middle of queueing. Receiver only. */
struct mailbox_node *mailbox_take(struct mailbox *mailbox);

/*
 * Prepares the receiver to sleep on event_fd. Returns false if items are queued, in which case the
 * receiver must not sleep. After waking, the receiver calls mailbox_disarm. Receiver only.
 */
bool mailbox_arm(struct mailbox *mailbox);

/* Cancels mailbox_arm and resets the counter of event_fd, which is then no longer readable.
 * Receiver only. */
void mailbox_disarm(struct mailbox *mailbox);

/* Returns the file descriptor that becomes readable when an item arrives after mailbox_arm. */
int mailbox_fd(const struct mailbox *mailbox);

#endif
