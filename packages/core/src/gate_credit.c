#include "core_defs.h"
#include "gate_state.h"

enum {
	/* An entry answers a reclaim with its next heartbeat at the latest, and sends a heartbeat
	 * every second. A reclaim without an answer after this time is presumed lost. */
	RECLAIM_RETRY_US = US_PER_SECOND,
	/* Prevents overflow of the sum of all demands in 64 bits. */
	DEMAND_LIMIT = 1 << 30,
};

/* Upper bound of current_weight, which grows while other entries are preferred because less of
 * their demand is covered. */
static const int64_t max_current_weight = (int64_t)DEMAND_LIMIT * 64;

/* Returns the number of credits that CH holds and has neither used nor returned. */
static uint64_t unused_credits(const struct gate_channel *ch)
{
	return ch->granted_total - ch->consumed_total;
}

/* Returns whether CH is open and has sent a message within the silence timeout. Only the credits of
 * such channels count. */
static bool is_responsive(const struct gate *gate, const struct gate_channel *ch)
{
	if (ch->closed)
		return false;
	return gate->limits.silence_timeout_us == 0 ||
	       gate->now_us - ch->last_message_us <= gate->limits.silence_timeout_us;
}

/* Returns the next responsive channel after CURSOR, or NULL. */
static struct gate_channel *next_responsive(const struct gate *gate, uint32_t *cursor)
{
	struct gate_channel *ch;

	while ((ch = table_next(&gate->channels, cursor, NULL))) {
		if (is_responsive(gate, ch))
			return ch;
	}
	return NULL;
}

/* Returns the number of queued tasks of CH that have no credit. */
static uint64_t uncovered_demand(const struct gate_channel *ch)
{
	uint64_t held = unused_credits(ch);

	return ch->demand > held ? ch->demand - held : 0;
}

static void grant_credit(struct gate_channel *ch)
{
	ch->granted_total++;
	ch->granted_changed = true;
}

static uint64_t capped_demand(const struct gate_channel *ch)
{
	return MIN(ch->demand, DEMAND_LIMIT);
}

/*
 * Returns whether A is to be served before B, that is, whether it has fewer admitted starts and
 * unused credits in relation to its demand. An entry whose task has just finished is then usually
 * the next in order, so its new credit is sent together with the result and needs no message of its
 * own. Ties, for example between entries without admitted starts and unused credits, are broken by
 * round robin.
 */
static bool precedes(const struct gate_channel *a, const struct gate_channel *b)
{
	uint64_t a_held = (unused_credits(a) + a->admitted_seqs.count) * capped_demand(b);
	uint64_t b_held = (unused_credits(b) + b->admitted_seqs.count) * capped_demand(a);

	return a_held != b_held ? a_held < b_held : a->current_weight > b->current_weight;
}

/*
 * Grants one credit to the entry whose demand is covered least. Ties are broken by smooth weighted
 * round robin: in each round the weight of every candidate grows by its demand, and the weight of
 * the chosen one shrinks by the sum of all demands. Returns false when all demand is covered.
 */
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
	/* Without a lower bound, credits received during a much larger demand would keep the entry
	 * from being served after the demand has fallen. */
	best->current_weight = MAX(best->current_weight - total, -total);
	grant_credit(best);
	return true;
}

/* Grants one credit to an entry with the fewest unused credits. Ties are broken by rotation.
 * Returns false when no channel is responsive. */
static bool grant_evenly(struct gate *gate)
{
	struct gate_channel *best = NULL;
	struct gate_channel *ch;
	uint32_t best_turn = 0;
	uint32_t cursor = 0;

	while ((ch = next_responsive(gate, &cursor))) {
		uint32_t index = cursor - 1;
		uint32_t turn = index - gate->rotation_start; /* wraps around for lower indexes */

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

/* Returns the number of credits that were requested back from CH and not returned yet, or 0 when
 * the request is presumed lost. */
static uint64_t credits_being_reclaimed(const struct gate *gate, const struct gate_channel *ch)
{
	if (ch->reclaim_target <= ch->consumed_total)
		return 0;
	if (gate->now_us - ch->reclaim_time_us >= RECLAIM_RETRY_US)
		return 0;
	return ch->reclaim_target - ch->consumed_total;
}

/* Returns the number of credits that can be reclaimed from CH: those beyond its demand, or all when
 * IGNORE_DEMAND is set, without those already being reclaimed. */
static uint64_t reclaimable_credits(const struct gate *gate, const struct gate_channel *ch,
				    bool ignore_demand)
{
	uint64_t held = unused_credits(ch);
	uint64_t kept = credits_being_reclaimed(gate, ch) + (ignore_demand ? 0 : ch->demand);

	return held > kept ? held - kept : 0;
}

static void reclaim_from(struct gate *gate, struct gate_channel *ch, uint64_t count)
{
	uint64_t pending = credits_being_reclaimed(gate, ch);

	/* The field consumed_total reaches the target whether the entry returns the credits or has
	 * used them. */
	ch->reclaim_target = ch->consumed_total + pending + count;
	ch->reclaim_time_us = gate->now_us;
	ch->unsent_reclaim += count;
}

/* Reclaims up to NEED credits, each from the entry with the most reclaimable credits. Returns the
 * number of credits that could not be reclaimed. */
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
			uint64_t have = reclaimable_credits(gate, ch, ignore_demand);

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

/* Sums over all responsive channels. */
struct credit_summary {
	uint64_t unused;
	uint64_t being_reclaimed; /* see credits_being_reclaimed() */
	uint64_t unserved_demand; /* demand of the entries without unused credits */
};

static struct credit_summary summarize_credits(const struct gate *gate)
{
	struct credit_summary summary = {0};
	struct gate_channel *ch;
	uint32_t cursor = 0;

	while ((ch = next_responsive(gate, &cursor))) {
		summary.unused += unused_credits(ch);
		summary.being_reclaimed += credits_being_reclaimed(gate, ch);
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

/* Reclaims credits when admitted starts and unused credits exceed LIMIT, or when an entry has
 * demand and no credit. */
static void reclaim_as_needed(struct gate *gate, const struct credit_summary *summary,
			      uint64_t limit)
{
	uint64_t used = summary->unused + gate->admitted_count;
	uint64_t excess = used > limit ? used - limit : 0;

	if (excess > summary->being_reclaimed) {
		excess = reclaim_credits(gate, excess - summary->being_reclaimed, false);
		reclaim_credits(gate, excess, true);
		return;
	}
	if (summary->unserved_demand > summary->being_reclaimed - excess)
		reclaim_credits(gate,
				summary->unserved_demand - (summary->being_reclaimed - excess),
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
							   .granted = ch->granted_total,
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
	uint64_t used = summary.unused + gate->admitted_count;

	if (gate->leaving)
		return collect_changes(gate, out, capacity);
	if (used < limit)
		grant_free_credits(gate, limit - used);
	else
		reclaim_as_needed(gate, &summary, limit);
	return collect_changes(gate, out, capacity);
}
