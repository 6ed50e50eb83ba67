#include "core_defs.h"
#include "gate_state.h"

enum {
	/* A reclaim that is not answered by then was lost; heartbeats come every second. */
	RECLAIM_RETRY_US = US_PER_SECOND,
	/* Keeps the sum of the demands of all entries within 64 bits. */
	DEMAND_LIMIT = 1 << 30,
};

/* An entry that is served less often than its demand is worth collects no more than this. */
static const int64_t max_current_weight = (int64_t)DEMAND_LIMIT * 64;

static uint64_t unused_credits(const struct gate_channel *ch)
{
	return ch->granted - ch->consumed;
}

/* Returns whether the credits of CH count: the channel is open and was heard of lately. */
static bool is_responsive(const struct gate *gate, const struct gate_channel *ch)
{
	if (ch->closed)
		return false;
	return gate->limits.silence_timeout_us == 0 ||
	       gate->now_us - ch->last_message_us <= gate->limits.silence_timeout_us;
}

/* Returns the next channel that counts, or NULL. */
static struct gate_channel *next_responsive(const struct gate *gate, uint32_t *cursor)
{
	struct gate_channel *ch;

	while ((ch = table_next(&gate->channels, cursor, NULL))) {
		if (is_responsive(gate, ch))
			return ch;
	}
	return NULL;
}

/* Returns how many queued tasks of CH have no credit. */
static uint64_t uncovered_demand(const struct gate_channel *ch)
{
	uint64_t held = unused_credits(ch);

	return ch->demand > held ? ch->demand - held : 0;
}

static void grant_credit(struct gate_channel *ch)
{
	ch->granted++;
	ch->granted_changed = true;
}

static uint64_t capped_demand(const struct gate_channel *ch)
{
	return MIN(ch->demand, DEMAND_LIMIT);
}

/*
 * Returns whether A is to be served before B: its slots, in use or promised, are the fewer in
 * relation to its demand, so that the credit of a task that ended usually goes back with its result
 * and needs no message of its own. Equals, such as entries without a slot, take turns.
 */
static bool precedes(const struct gate_channel *a, const struct gate_channel *b)
{
	uint64_t a_held = (unused_credits(a) + a->running.count) * capped_demand(b);
	uint64_t b_held = (unused_credits(b) + b->running.count) * capped_demand(a);

	return a_held != b_held ? a_held < b_held : a->current_weight > b->current_weight;
}

/* Grants one credit to the entry whose demand is covered least. Turns follow a smooth weighted
 * round robin: each one's share grows by its demand and shrinks by all demand with each credit.
 * Returns false when no demand is without a credit. */
static bool grant_by_demand(struct gate *gate)
{
	struct gate_channel *best = NULL;
	struct gate_channel *ch;
	uint32_t cursor = 0;
	int64_t total = 0;

	while ((ch = next_responsive(gate, &cursor))) {
		if (uncovered_demand(ch) == 0) {
			ch->current_weight = 0;
			continue;
		}
		total += (int64_t)capped_demand(ch);
		ch->current_weight =
			MIN(ch->current_weight + (int64_t)capped_demand(ch), max_current_weight);
		if (!best || precedes(ch, best))
			best = ch;
	}
	if (!best)
		return false;
	/* The lower bound forgets what an entry received under a much larger demand. */
	best->current_weight = MAX(best->current_weight - total, -total);
	grant_credit(best);
	return true;
}

/* Grants one credit to an entry with the fewest; equals take turns. */
static bool grant_evenly(struct gate *gate)
{
	struct gate_channel *best = NULL;
	struct gate_channel *ch;
	uint32_t best_turn = 0;
	uint32_t cursor = 0;

	while ((ch = next_responsive(gate, &cursor))) {
		uint32_t index = cursor - 1;
		uint32_t turn = index - gate->rotation_start; /* wraps for those before it */

		if (best && unused_credits(ch) > unused_credits(best))
			continue;
		if (best && unused_credits(ch) == unused_credits(best) && turn > best_turn)
			continue;
		best = ch;
		best_turn = turn;
	}
	if (!best)
		return false;
	gate->rotation_start = best->handle.index + 1;
	grant_credit(best);
	return true;
}

static uint64_t reclaim_pending(const struct gate *gate, const struct gate_channel *ch)
{
	if (ch->reclaim_target <= ch->consumed)
		return 0;
	if (gate->now_us - ch->reclaim_time_us >= RECLAIM_RETRY_US)
		return 0;
	return ch->reclaim_target - ch->consumed;
}

/* Returns how many credits of CH may be asked back: those beyond its demand, or with ANY all, less
 * those that are being asked back. */
static uint64_t reclaimable(const struct gate *gate, const struct gate_channel *ch,
			    bool ignore_demand)
{
	uint64_t held = unused_credits(ch);
	uint64_t kept = reclaim_pending(gate, ch) + (ignore_demand ? 0 : ch->demand);

	return held > kept ? held - kept : 0;
}

static void reclaim_from(struct gate *gate, struct gate_channel *ch, uint64_t count)
{
	uint64_t pending = reclaim_pending(gate, ch);

	/* Whether the entry returns the credits or has used them, its consumed reaches the target.
	 */
	ch->reclaim_target = ch->consumed + pending + count;
	ch->reclaim_time_us = gate->now_us;
	ch->unsent_reclaim += count;
}

/* Asks back up to NEED credits, each from an entry with the most to spare. Returns what is still
 * needed. */
static uint64_t reclaim_credits(struct gate *gate, uint64_t need, bool ignore_demand)
{
	while (need > 0) {
		struct gate_channel *best = NULL;
		struct gate_channel *ch;
		uint64_t most = 0;
		uint64_t second = 0;
		uint32_t cursor = 0;
		uint64_t count;

		while ((ch = next_responsive(gate, &cursor))) {
			uint64_t have = reclaimable(gate, ch, ignore_demand);

			if (have > most) {
				second = most;
				most = have;
				best = ch;
			} else {
				second = MAX(second, have);
			}
		}
		if (!best)
			return need;
		count = MIN(need, MAX(most - second, 1));
		reclaim_from(gate, best, count);
		need -= count;
	}
	return 0;
}

/* The credits in the hands of entries, what is being asked back, and the demand of entries without
 * any. */
struct credit_summary {
	uint64_t unused;
	uint64_t pending;
	uint64_t unserved_demand;
};

static struct credit_summary summarize_credits(const struct gate *gate)
{
	struct credit_summary summary = {0};
	struct gate_channel *ch;
	uint32_t cursor = 0;

	while ((ch = next_responsive(gate, &cursor))) {
		summary.unused += unused_credits(ch);
		summary.pending += reclaim_pending(gate, ch);
		if (unused_credits(ch) == 0)
			summary.unserved_demand += MIN(ch->demand, DEMAND_LIMIT);
	}
	return summary;
}

static void grant_free_credits(struct gate *gate, uint64_t free_credits)
{
	while (free_credits > 0 && grant_by_demand(gate))
		free_credits--;
	while (free_credits > 0 && grant_evenly(gate))
		free_credits--;
}

/* Asks credits back where too many are promised, or where an entry with demand has none. */
static void reclaim_as_needed(struct gate *gate, const struct credit_summary *summary,
			      uint64_t limit)
{
	uint64_t used = summary->unused + gate->running;
	uint64_t excess = used > limit ? used - limit : 0;

	if (excess > summary->pending) {
		excess = reclaim_credits(gate, excess - summary->pending, false);
		reclaim_credits(gate, excess, true);
		return;
	}
	if (summary->unserved_demand > summary->pending - excess)
		reclaim_credits(gate, summary->unserved_demand - (summary->pending - excess),
				false);
}

static uint32_t collect_changes(struct gate *gate, struct gate_credit_change *out,
				uint32_t capacity)
{
	struct gate_channel *ch;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while (count < capacity && (ch = table_next(&gate->channels, &cursor, NULL))) {
		if (!ch->granted_changed && ch->unsent_reclaim == 0)
			continue;
		out[count++] = (struct gate_credit_change){.channel = ch->handle,
							   .granted = ch->granted,
							   .reclaim = ch->unsent_reclaim};
		ch->granted_changed = false;
		ch->unsent_reclaim = 0;
	}
	return count;
}

uint32_t gate_distribute_credits(struct gate *gate, struct gate_credit_change *out,
				 uint32_t capacity)
{
	struct credit_summary summary = summarize_credits(gate);
	uint64_t limit = gate_admission_limit(gate);
	uint64_t used = summary.unused + gate->running;

	if (gate->leaving)
		return collect_changes(gate, out, capacity);
	if (used < limit)
		grant_free_credits(gate, limit - used);
	else
		reclaim_as_needed(gate, &summary, limit);
	return collect_changes(gate, out, capacity);
}
