#include "presence.h"

#include <glib.h>
#include <string.h>

enum {
	PERMILLE = 1000,
	/* A heartbeat older than this on arrival counts as late. The server considers a
	 * heartbeat lost when no answer has arrived within this time. */
	HEARTBEAT_MAX_AGE_MS = 1000,
	/* How far the clock of a heartbeat may be ahead of the server's clock as the last answer
	 * gives it. That estimate lags behind by the time that the answer took. */
	CLOCK_LEAD_MAX_MS = 200,
	IDENTITY_VOTES_MAX = 3
};

const char *heartbeat_verdict_name(enum heartbeat_verdict verdict)
{
	static const char *const names[] = {
		[HEARTBEAT_ACCEPTED] = "accepted",
		[HEARTBEAT_UNCONFIRMED] = "unconfirmed",
		[HEARTBEAT_SUPERSEDED] = "superseded",
		[HEARTBEAT_OTHER_INCARNATION] = "start time of another incarnation",
		[HEARTBEAT_CLOCK_AHEAD] = "clock ahead of the server's",
		[HEARTBEAT_OTHER_IDENTITY] = "identity of another server",
	};

	return names[verdict];
}

int64_t presence_clock_ms(const struct presence *presence, int64_t now_us)
{
	return presence->clock_ms + (now_us - presence->clock_received_us) / US_PER_MS;
}

int64_t presence_slow_clock_ms(const struct presence *presence, uint32_t drift_permille,
			       int64_t now_us)
{
	int64_t age_us = now_us - presence->clock_received_us;

	return presence->clock_ms + (age_us - age_us * drift_permille / PERMILLE) / US_PER_MS;
}

bool presence_is_known(const struct presence *presence)
{
	return presence->heartbeat_seen && presence->identity_votes > 0;
}

bool presence_is_late(const struct presence *presence)
{
	int64_t received_clock_ms = presence_clock_ms(presence, presence->last.received_us);

	return presence->last.clock_ms > 0 &&
	       received_clock_ms - presence->last.clock_ms > HEARTBEAT_MAX_AGE_MS;
}

static void begin_incarnation(struct presence *presence, int64_t start_time_ms)
{
	presence->start_time_ms = start_time_ms;
	presence->connection = 0;
	presence->clock_ms = 0;
	presence->heartbeat_seen = false;
}

enum answer_origin presence_on_answer(struct presence *presence, const struct server_answer *answer)
{
	enum answer_origin origin = ANSWER_CURRENT;

	if (answer->start_time_ms == 0 && presence->start_time_ms != 0)
		return ANSWER_CURRENT;
	if (answer->start_time_ms != presence->start_time_ms) {
		if (presence->start_time_ms != 0 && answer->connection < presence->connection)
			return ANSWER_OLD;
		if (presence->start_time_ms != 0 && answer->connection == presence->connection)
			return ANSWER_CONTRADICTS;
		begin_incarnation(presence, answer->start_time_ms);
		origin = ANSWER_NEW_INCARNATION;
	}
	presence->answered = true;
	presence->connection = MAX(presence->connection, answer->connection);
	if (answer->clock_ms > 0) {
		presence->clock_ms = answer->clock_ms;
		presence->clock_received_us = answer->received_us;
	}
	return origin;
}

/* Returns HEARTBEAT_ACCEPTED if the server's answers agree with HEARTBEAT. */
static enum heartbeat_verdict compare_with_answers(const struct presence *presence,
						   const struct heartbeat *heartbeat,
						   int64_t now_us)
{
	if (!presence->answered)
		return HEARTBEAT_UNCONFIRMED;
	if (heartbeat->start_time_ms != 0 && heartbeat->start_time_ms != presence->start_time_ms)
		return HEARTBEAT_OTHER_INCARNATION;
	if (heartbeat->clock_ms > presence_clock_ms(presence, now_us) + CLOCK_LEAD_MAX_MS)
		return HEARTBEAT_CLOCK_AHEAD;
	return HEARTBEAT_ACCEPTED;
}

static bool identities_equal(const struct server_identity *a, const struct server_identity *b)
{
	if (strcmp(a->id, b->id) != 0 || strcmp(a->service, b->service) != 0 ||
	    strcmp(a->zone, b->zone) != 0 || a->label_count != b->label_count)
		return false;
	for (size_t i = 0; i < a->label_count; i++) {
		if (strcmp(a->labels[i], b->labels[i]) != 0)
			return false;
	}
	return true;
}

/* An identity does not change within an incarnation, so the one that most heartbeats state is
 * right. Returns whether IDENTITY is the current one. */
static bool vote_for_identity(struct presence *presence, const struct server_identity *identity)
{
	bool equal = identities_equal(&presence->identity, identity);

	if (!presence->heartbeat_seen || (presence->identity_votes == 0 && !equal)) {
		presence->identity = *identity;
		presence->identity_votes = 1;
		presence->identity_version++;
		return true;
	}
	if (equal)
		presence->identity_votes = MIN(presence->identity_votes + 1, IDENTITY_VOTES_MAX);
	else
		presence->identity_votes--;
	return equal;
}

static struct resources smaller_resources(const struct resources *a, const struct resources *b)
{
	return (struct resources){
		.cpu = MIN(a->cpu, b->cpu),
		.memory_mb = MIN(a->memory_mb, b->memory_mb),
		.gpus = MIN(a->gpus, b->gpus),
	};
}

static bool is_superseded(const struct presence *presence, const struct heartbeat *heartbeat)
{
	const struct heartbeat *last = &presence->last;

	if (!presence->heartbeat_seen)
		return false;
	/* The clock comes first, because the answers confirm it and not the sequence number. */
	return heartbeat->clock_ms < last->clock_ms ||
	       (heartbeat->clock_ms == last->clock_ms && heartbeat->sequence <= last->sequence);
}

/* Returns whether a superseded heartbeat says that the server leaves and may be later than its
 * clock makes it appear beside a wrong one, whose clock may lead by CLOCK_LEAD_MAX_MS. */
static bool is_late_notice(const struct presence *presence, const struct heartbeat *heartbeat)
{
	return heartbeat->draining && !presence->last.draining &&
	       heartbeat->clock_ms >= presence->last.clock_ms - CLOCK_LEAD_MAX_MS &&
	       identities_equal(&presence->identity, &heartbeat->identity);
}

/* Resources are added, and a leaving server is used again, only when two heartbeats in a row say
 * so. */
static enum heartbeat_verdict apply(struct presence *presence, const struct heartbeat *heartbeat)
{
	struct resources resources = heartbeat->capacity;
	bool leaving = heartbeat->draining;

	if (is_superseded(presence, heartbeat)) {
		if (!is_late_notice(presence, heartbeat))
			return HEARTBEAT_SUPERSEDED;
		presence->leaving = true;
		presence->last.draining = true;
		return HEARTBEAT_ACCEPTED;
	}
	if (!vote_for_identity(presence, &heartbeat->identity))
		return HEARTBEAT_OTHER_IDENTITY;
	if (presence->heartbeat_seen) {
		resources = smaller_resources(&resources, &presence->last.capacity);
		leaving = leaving || presence->last.draining;
	}
	if (!resources_equal(&presence->resources, &resources))
		presence->identity_version++;
	presence->resources = resources;
	presence->leaving = leaving;
	presence->heartbeat_seen = true;
	presence->last = *heartbeat;
	return HEARTBEAT_ACCEPTED;
}

static void remove_unconfirmed(struct presence *presence, size_t index)
{
	presence->unconfirmed_count--;
	memmove(&presence->unconfirmed[index], &presence->unconfirmed[index + 1],
		(presence->unconfirmed_count - index) * sizeof(presence->unconfirmed[0]));
}

enum heartbeat_verdict presence_on_heartbeat(struct presence *presence,
					     const struct heartbeat *heartbeat, int64_t now_us)
{
	if (compare_with_answers(presence, heartbeat, now_us) == HEARTBEAT_ACCEPTED)
		return apply(presence, heartbeat);
	if (presence->unconfirmed_count == PRESENCE_UNCONFIRMED_MAX)
		remove_unconfirmed(presence, 0);
	presence->unconfirmed[presence->unconfirmed_count++] = *heartbeat;
	return HEARTBEAT_UNCONFIRMED;
}

bool presence_next_confirmed(struct presence *presence, int64_t asked_us, int64_t now_us,
			     struct heartbeat *heartbeat, enum heartbeat_verdict *verdict)
{
	for (size_t i = 0; i < presence->unconfirmed_count; i++) {
		*heartbeat = presence->unconfirmed[i];
		*verdict = compare_with_answers(presence, heartbeat, now_us);
		if (*verdict != HEARTBEAT_ACCEPTED && heartbeat->received_us > asked_us)
			continue;
		remove_unconfirmed(presence, i);
		if (*verdict == HEARTBEAT_ACCEPTED)
			*verdict = apply(presence, heartbeat);
		return true;
	}
	return false;
}

bool presence_on_deregistration(struct presence *presence, const char *id, int64_t start_time_ms)
{
	if (strcmp(id, presence->identity.id) != 0 ||
	    (start_time_ms != 0 && start_time_ms != presence->start_time_ms))
		return false;
	presence->leaving = true;
	presence->last.draining = true;
	return true;
}

bool presence_on_id_rejected(struct presence *presence, const char *id)
{
	if (!presence->heartbeat_seen || strcmp(id, presence->identity.id) != 0)
		return false;
	presence->identity_votes = 0;
	return true;
}
