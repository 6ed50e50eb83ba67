#include "link.h"

#include <glib.h>
#include <string.h>

enum {
	INITIAL_CAPACITY = 16 /* slots of the hash table; must be a power of two */
};

/* Returns the slot at which the search for SEQ begins. Sequence numbers are dense, so their low
 * bits distribute them evenly. */
static uint32_t home_slot(const struct link *link, uint64_t seq)
{
	return (uint32_t)(seq & (link->start_capacity - 1));
}

static void insert_start(struct link *link, const struct link_start *start)
{
	uint32_t i = home_slot(link, start->seq);

	while (link->starts[i].seq != 0)
		i = (i + 1) & (link->start_capacity - 1);
	link->starts[i] = *start;
}

static void grow_table(struct link *link)
{
	struct link_start *old = link->starts;
	uint32_t old_capacity = link->start_capacity;

	link->start_capacity = old_capacity ? old_capacity * 2 : INITIAL_CAPACITY;
	link->starts = g_new0(struct link_start, link->start_capacity);
	for (uint32_t i = 0; i < old_capacity; i++) {
		if (old[i].seq != 0)
			insert_start(link, &old[i]);
	}
	g_free(old);
}

/* Empties the slot HOLE and shifts later entries of its probe sequence back, so that no search
 * stops at it. */
static void remove_at(struct link *link, uint32_t hole)
{
	uint32_t mask = link->start_capacity - 1;

	for (uint32_t i = (hole + 1) & mask; link->starts[i].seq != 0; i = (i + 1) & mask) {
		uint32_t home = home_slot(link, link->starts[i].seq);

		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		link->starts[hole] = link->starts[i];
		hole = i;
	}
	link->starts[hole] = (struct link_start){0};
	link->start_count--;
}

void link_init(struct link *link)
{
	*link = (struct link){.next_seq = 1};
}

void link_free(struct link *link)
{
	g_free(link->starts);
	link_init(link);
}

void link_resume(struct link *link, uint64_t next_seq, uint64_t granted)
{
	bool is_new = link->next_seq == 1 && link->granted_total == 0;

	if (!is_new && next_seq <= link->next_seq)
		return;
	link->next_seq = next_seq ? next_seq : 1;
	link->granted_total = granted;
	link->consumed_total = granted;
}

uint64_t link_credits(const struct link *link)
{
	return link->granted_total - link->consumed_total;
}

void link_grant(struct link *link, uint64_t granted)
{
	if (granted > link->granted_total)
		link->granted_total = granted;
}

uint64_t link_return_credits(struct link *link, uint64_t count)
{
	uint64_t returned = MIN(count, link_credits(link));

	link->consumed_total += returned;
	return returned;
}

uint64_t link_record_start(struct link *link, struct handle job, uint32_t task, int64_t now_us)
{
	struct link_start start = {.job = job, .task = task, .sent_us = now_us};

	if (link_credits(link) == 0)
		return 0;
	/* A load factor of at most 3/4 keeps probe sequences short. */
	if ((uint64_t)link->start_count * 4 >= (uint64_t)link->start_capacity * 3)
		grow_table(link);
	start.seq = link->next_seq++;
	link->consumed_total++;
	link->start_count++;
	insert_start(link, &start);
	return start.seq;
}

bool link_end_start(struct link *link, uint64_t seq, struct link_start *out)
{
	uint32_t mask = link->start_capacity - 1;

	if (seq == 0 || link->start_count == 0)
		return false;
	for (uint32_t i = home_slot(link, seq); link->starts[i].seq != 0; i = (i + 1) & mask) {
		if (link->starts[i].seq != seq)
			continue;
		*out = link->starts[i];
		remove_at(link, i);
		return true;
	}
	return false;
}

bool link_accept_result(struct link *link, uint64_t number)
{
	if (number <= link->result_ack)
		return false;
	if (number == link->result_ack + 1)
		link->result_ack = number;
	return true;
}

uint32_t link_outstanding(const struct link *link, struct link_start *out, uint32_t capacity)
{
	uint32_t copied = 0;

	if (!out)
		return link->start_count;
	for (uint32_t i = 0; i < link->start_capacity && copied < capacity; i++) {
		if (link->starts[i].seq != 0)
			out[copied++] = link->starts[i];
	}
	return link->start_count;
}

bool link_abandon_start(struct link *link, struct link_start *out)
{
	uint64_t seq = 0;

	for (uint32_t i = 0; i < link->start_capacity && seq == 0; i++)
		seq = link->starts[i].seq;
	return link_end_start(link, seq, out);
}
