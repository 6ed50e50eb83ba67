#include "mailbox.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tsan.h"

enum status mailbox_init(struct mailbox *mailbox, struct error *err)
{
	cds_wfcq_init(&mailbox->head, &mailbox->tail);
	mailbox->wakeup_requested = 0;
	mailbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->event_fd < 0)
		return error_set(err, STATUS_RESOURCE, "cannot create an eventfd: %s",
				 strerror(errno));
	return STATUS_OK;
}

void mailbox_free(struct mailbox *mailbox)
{
	close(mailbox->event_fd);
	cds_wfcq_destroy(&mailbox->head, &mailbox->tail);
}

void mailbox_send(struct mailbox *mailbox, struct mailbox_node *node)
{
	uint64_t one = 1;

	cds_wfcq_node_init(&node->node);
	TSAN_RELEASE(node);
	cds_wfcq_enqueue(&mailbox->head, &mailbox->tail, &node->node);
	if (__atomic_exchange_n(&mailbox->wakeup_requested, 0, __ATOMIC_SEQ_CST) == 0)
		return;
	/* A failure is ignored: the counter of the eventfd cannot overflow, as it grows by at most
	 * 1 per mailbox_arm. */
	if (write(mailbox->event_fd, &one, sizeof(one)) < 0)
		return;
}

struct mailbox_node *mailbox_take(struct mailbox *mailbox)
{
	struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking(&mailbox->head, &mailbox->tail);

	if (!node)
		return NULL;
	TSAN_ACQUIRE(node);
	return (struct mailbox_node *)node;
}

bool mailbox_arm(struct mailbox *mailbox)
{
	__atomic_store_n(&mailbox->wakeup_requested, 1, __ATOMIC_SEQ_CST);
	if (cds_wfcq_empty(&mailbox->head, &mailbox->tail))
		return true;
	__atomic_store_n(&mailbox->wakeup_requested, 0, __ATOMIC_SEQ_CST);
	return false;
}

void mailbox_disarm(struct mailbox *mailbox)
{
	uint64_t count;

	__atomic_store_n(&mailbox->wakeup_requested, 0, __ATOMIC_SEQ_CST);
	if (read(mailbox->event_fd, &count, sizeof(count)) < 0)
		return;
}

int mailbox_fd(const struct mailbox *mailbox)
{
	return mailbox->event_fd;
}
