#include "core_defs.h"
#include "gate_state.h"

enum {
	/* A reclaim that is not answered by then was lost; heartbeats come every second. */
	RECLAIM_RETRY_US = US_PER_SECOND,
	/* Keeps the sum of the demands of all entries within 64 bits. */
	DEMAND_LIMIT = 1 << 30,
};

/* An entry that is served less often than its demand is worth collects no more than this. */
static const int64_t share_limit = (int64_t)DEMAND_LIMIT * 64;

static uint64_t promised(const struct gate_channel *ch)
{
	return ch->granted - ch->consumed;
}

/* Returns whether the credits of CH count: the channel is open and was heard of lately. */
static bool is_present(const struct gate *gate, const struct gate_channel *ch)
{
	if (ch->closed)
		return false;
	return gate->limits.silence_timeout_us == 0 ||
	       gate->now_us - ch->heard_us <= gate->limits.silence_timeout_us;
}

/* Returns the next channel that counts, or NULL. */
static struct gate_channel *next_present(const struct gate *gate, uint32_t *cursor)
{
	struct gate_channel *ch;

	while ((ch = table_next(&gate->channels, cursor, NULL))) {
		if (is_present(gate, ch))
			return ch;
	}
	return NULL;
}

/* Returns how many queued tasks of CH have no credit. */
static uint64_t wanted(const struct gate_channel *ch)
{
	uint64_t held = promised(ch);

	return ch->demand > held ? ch->demand - held : 0;
}

static void grant_one(struct gate_channel *ch)
{
	ch->granted++;
	ch->granted_changed = true;
}

static uint64_t weight(const struct gate_channel *ch)
{
	return MIN(ch->demand, DEMAND_LIMIT);
}

/*
 * Returns whether A is to be served before B: its slots, in use or promised, are the fewer in
 * relation to its demand, so that the credit of a task that ended usually goes back with its result
 * and needs no message of its own. Equals, such as entries without a slot, take turns.
 */
static bool is_before(const struct gate_channel *a, const struct gate_channel *b)
{
	uint64_t a_held = (promised(a) + a->running.count) * weight(b);
	uint64_t b_held = (promised(b) + b->running.count) * weight(a);

	return a_held != b_held ? a_held < b_held : a->share > b->share;
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

	while ((ch = next_present(gate, &cursor))) {
		if (wanted(ch) == 0) {
			ch->share = 0;
			continue;
		}
		total += (int64_t)weight(ch);
		ch->share = MIN(ch->share + (int64_t)weight(ch), share_limit);
		if (!best || is_before(ch, best))
			best = ch;
	}
	if (!best)
		return false;
	/* The lower bound forgets what an entry received under a much larger demand. */
	best->share = MAX(best->share - total, -total);
	grant_one(best);
	return true;
}

/* Grants one credit to an entry with the fewest; equals take turns. */
static bool grant_evenly(struct gate *gate)
{
	struct gate_channel *best = NULL;
	struct gate_channel *ch;
	uint32_t best_turn = 0;
	uint32_t cursor = 0;

	while ((ch = next_present(gate, &cursor))) {
		uint32_t index = cursor - 1;
		uint32_t turn = index - gate->rotation; /* wraps for those before it */

		if (best && promised(ch) > promised(best))
			continue;
		if (best && promised(ch) == promised(best) && turn > best_turn)
			continue;
		best = ch;
		best_turn = turn;
	}
	if (!best)
		return false;
	gate->rotation = best->self.index + 1;
	grant_one(best);
	return true;
}

static uint64_t reclaim_pending(const struct gate *gate, const struct gate_channel *ch)
{
	if (ch->reclaim_target <= ch->consumed)
		return 0;
	if (gate->now_us - ch->reclaim_us >= RECLAIM_RETRY_US)
		return 0;
	return ch->reclaim_target - ch->consumed;
}

/* Returns how many credits of CH may be asked back: those beyond its demand, or with ANY all, less
 * those that are being asked back. */
static uint64_t spare(const struct gate *gate, const struct gate_channel *ch, bool any)
{
	uint64_t held = promised(ch);
	uint64_t kept = reclaim_pending(gate, ch) + (any ? 0 : ch->demand);

	return held > kept ? held - kept : 0;
}

static void reclaim_from(struct gate *gate, struct gate_channel *ch, uint64_t count)
{
	uint64_t pending = reclaim_pending(gate, ch);

	/* Whether the entry returns the credits or has used them, its consumed reaches the target.
	 */
	ch->reclaim_target = ch->consumed + pending + count;
	ch->reclaim_us = gate->now_us;
	ch->reclaim += count;
}

/* Asks back up to NEED credits, each from an entry with the most to spare. Returns what is still
 * needed. */
static uint64_t reclaim(struct gate *gate, uint64_t need, bool any)
{
	while (need > 0) {
		struct gate_channel *best = NULL;
		struct gate_channel *ch;
		uint64_t most = 0;
		uint64_t second = 0;
		uint32_t cursor = 0;
		uint64_t count;

		while ((ch = next_present(gate, &cursor))) {
			uint64_t have = spare(gate, ch, any);

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
struct holdings {
	uint64_t promised;
	uint64_t pending;
	uint64_t starving;
};

static struct holdings take_stock(const struct gate *gate)
{
	struct holdings holdings = {0};
	struct gate_channel *ch;
	uint32_t cursor = 0;

	while ((ch = next_present(gate, &cursor))) {
		holdings.promised += promised(ch);
		holdings.pending += reclaim_pending(gate, ch);
		if (promised(ch) == 0)
			holdings.starving += MIN(ch->demand, DEMAND_LIMIT);
	}
	return holdings;
}

static void grant_free(struct gate *gate, uint64_t free)
{
	while (free > 0 && grant_by_demand(gate))
		free--;
	while (free > 0 && grant_evenly(gate))
		free--;
}

/* Asks credits back where too many are promised, or where an entry with demand has none. */
static void reclaim_needed(struct gate *gate, const struct holdings *holdings, uint64_t room)
{
	uint64_t used = holdings->promised + gate->running;
	uint64_t excess = used > room ? used - room : 0;

	if (excess > holdings->pending) {
		excess = reclaim(gate, excess - holdings->pending, false);
		reclaim(gate, excess, true);
		return;
	}
	if (holdings->starving > holdings->pending - excess)
		reclaim(gate, holdings->starving - (holdings->pending - excess), false);
}

static uint32_t take_changes(struct gate *gate, struct gate_credit_change *out, uint32_t capacity)
{
	struct gate_channel *ch;
	uint32_t cursor = 0;
	uint32_t count = 0;

	while (count < capacity && (ch = table_next(&gate->channels, &cursor, NULL))) {
		if (!ch->granted_changed && ch->reclaim == 0)
			continue;
		out[count++] = (struct gate_credit_change){
			.channel = ch->self, .granted = ch->granted, .reclaim = ch->reclaim};
		ch->granted_changed = false;
		ch->reclaim = 0;
	}
	return count;
}

uint32_t gate_distribute_credits(struct gate *gate, struct gate_credit_change *out,
				 uint32_t capacity)
{
	struct holdings holdings = take_stock(gate);
	uint64_t room = gate_room(gate);
	uint64_t used = holdings.promised + gate->running;

	if (gate->leaving)
		return take_changes(gate, out, capacity);
	if (used < room)
		grant_free(gate, room - used);
	else
		reclaim_needed(gate, &holdings, room);
	return take_changes(gate, out, capacity);
}
