/* Tests claims and sessions of several entries that share one claims stream and forward requests to
 * the owners. A model records which keys were started. */
#include <glib.h>
#include <stdlib.h>

#include "claims.h"
#include "sequence.h"
#include "session.h"

enum {
	ENTRY_COUNT = 3,
	KEY_COUNT = 6,
	BODY_COUNT = 2,
	MAX_SESSIONS = 8,
	MAX_RECORDS = 160,
	MAX_PENDING_APPENDS = 32, /* appends sent but not completed */
	SEED = 20261205,
	SEQUENCE_COUNT = 100000,
	MINUTE_MS = 60000,
	WINDOW_MS = 60 * MINUTE_MS,
	LIFETIME_MS = 30 * MINUTE_MS,
	RETAIN_MS = 10 * MINUTE_MS,
	MAX_CLOCK_SKEW_MS = MINUTE_MS, /* largest difference between the clock of an entry and that
					  of the log */
};

enum step_kind {
	STEP_SUBMIT,
	STEP_SEND_APPEND,
	STEP_COMPLETE_APPEND,
	STEP_DUPLICATE_APPEND,
	STEP_DROP_APPEND,
	STEP_READ_STREAM,
	STEP_ABANDON,
	STEP_RESTART_ENTRY,
	STEP_ADVANCE_TIME,
	STEP_ADD_INVALID_RECORD,
	STEP_OPEN_SESSION,
	STEP_SUBMIT_IN_SESSION,
	STEP_REMOVE_KEY,
	STEP_CLOSE_SESSION,
};

static const struct sequence_kind step_kinds[] = {
	[STEP_SUBMIT] = {"submit", 40},
	[STEP_SEND_APPEND] = {"send-append", 20},
	[STEP_COMPLETE_APPEND] = {"complete-append", 20},
	[STEP_DUPLICATE_APPEND] = {"duplicate-append", 5},
	[STEP_DROP_APPEND] = {"drop-append", 4},
	[STEP_READ_STREAM] = {"read-stream", 30},
	[STEP_ABANDON] = {"abandon", 8},
	[STEP_RESTART_ENTRY] = {"restart-entry", 3},
	[STEP_ADVANCE_TIME] = {"advance-time", 12},
	[STEP_ADD_INVALID_RECORD] = {"add-invalid-record", 2},
	[STEP_OPEN_SESSION] = {"open-session", 6},
	[STEP_SUBMIT_IN_SESSION] = {"submit-in-session", 40},
	[STEP_REMOVE_KEY] = {"remove-key", 3},
	[STEP_CLOSE_SESSION] = {"close-session", 2},
};

/* An entry process. Its claims reflect the first records_read records of the stream. */
struct entry {
	struct ident incarnation;
	struct claims *claims;
	struct session_store *sessions;
	uint32_t records_read;
	int64_t clock_skew_ms;
};

struct record {
	char *text;
	int64_t time_ms;
};

struct pending_append {
	char *text;
	uint32_t entry;
};

/* A job key used without a session. */
struct key {
	char text[40];
	struct ident digest;
	int64_t time_ms;
	uint32_t start_count;
};

/* A session and the state of its keys in the model. */
struct session_model {
	struct session_token token;
	int64_t opened_ms;
	bool closed;
	uint8_t body_plus_one[KEY_COUNT]; /* body used with the key plus 1, 0 if unused */
};

struct simulation {
	struct entry entries[ENTRY_COUNT];
	struct record stream[MAX_RECORDS];
	struct pending_append pending_appends[MAX_PENDING_APPENDS];
	struct key keys[KEY_COUNT];
	struct session_model session_models[MAX_SESSIONS];
	uint32_t stream_count;
	uint32_t pending_count;
	uint32_t session_count;
	uint32_t incarnation_count;
	uint32_t last_session_serial;
	int64_t now_ms;
	bool refuse_next; /* refuse the next job that could start */
	const char *failure;
};

static void expect(struct simulation *sim, bool condition, const char *text)
{
	if (!condition && !sim->failure)
		sim->failure = text;
}

static int64_t wall_ms(const struct simulation *sim, const struct entry *entry)
{
	return sim->now_ms + entry->clock_skew_ms;
}

static void restart_entry(struct simulation *sim, struct entry *entry)
{
	const struct session_limits limits = {(int64_t)LIFETIME_MS * 1000,
					      (int64_t)RETAIN_MS * 1000, 4, 8};

	claims_free(entry->claims);
	session_store_free(entry->sessions);
	*entry = (struct entry){.incarnation = {{(uint8_t)++sim->incarnation_count}},
				.clock_skew_ms =
					(int64_t)(entry - sim->entries - 1) * MAX_CLOCK_SKEW_MS};
	entry->claims = claims_new(&entry->incarnation, WINDOW_MS);
	entry->sessions = session_store_new(&limits, &entry->incarnation);
}

/* Creates a key of a client whose clock is up to five minutes ahead. */
static void make_key(struct simulation *sim, struct key *key, uint64_t sequence_seed)
{
	*key = (struct key){.time_ms =
				    sim->now_ms + (int64_t)(sequence_seed % CLAIM_FUTURE_LIMIT_MS)};
	g_snprintf(key->text, sizeof(key->text), "%08x-%04x-7000-8000-%012x",
		   (uint32_t)(key->time_ms >> 16), (uint32_t)(key->time_ms & 0xffff),
		   (uint32_t)sequence_seed);
	key->digest = claims_key_digest(key->text);
}

/* Starts the job of KEY at ENTRY, which owns the claim, or refuses it if refuse_next is set. */
static void start_or_refuse(struct simulation *sim, struct entry *entry, struct key *key)
{
	if (sim->refuse_next) {
		claims_set_unstarted(entry->claims, &key->digest);
		sim->refuse_next = false;
		return;
	}
	expect(sim, ++key->start_count == 1, "a key was started twice");
}

struct read_context {
	struct simulation *simulation;
	struct entry *entry;
};

static void handle_claim_decision(void *context, const struct ident *digest, bool won,
				  const struct ident *owner)
{
	struct read_context *read = context;

	expect(read->simulation, won == ident_equal(owner, &read->entry->incarnation),
	       "a claim was reported as won by the wrong entry");
	for (uint32_t i = 0; won && i < KEY_COUNT; i++) {
		if (ident_equal(&read->simulation->keys[i].digest, digest))
			start_or_refuse(read->simulation, read->entry, &read->simulation->keys[i]);
	}
}

static void read_stream(struct simulation *sim, struct entry *entry, uint32_t count)
{
	struct read_context read = {sim, entry};

	for (; count > 0 && entry->records_read < sim->stream_count;
	     count--, entry->records_read++) {
		const struct record *record = &sim->stream[entry->records_read];

		claims_apply_record(entry->claims, entry->records_read, record->text,
				    strlen(record->text), record->time_ms, handle_claim_decision,
				    &read, NULL);
	}
}

static struct entry *find_entry(struct simulation *sim, const struct ident *incarnation)
{
	for (uint32_t i = 0; i < ENTRY_COUNT; i++) {
		if (ident_equal(&sim->entries[i].incarnation, incarnation))
			return &sim->entries[i];
	}
	return NULL;
}

/* Submits a job with a key and no session to ENTRY. FORWARDED is set if another entry forwarded the
 * request. */
static void submit(struct simulation *sim, struct entry *entry, struct key *key, bool forwarded)
{
	struct ident owner;
	struct entry *other;
	bool startable;

	if (claims_check_key(key->text, wall_ms(sim, entry), WINDOW_MS, NULL) != STATUS_OK)
		return;
	switch (claims_find(entry->claims, &key->digest, &owner)) {
	case CLAIM_NONE:
		claims_request(entry->claims, &key->digest);
		break;
	case CLAIM_ABANDONED:
	case CLAIM_UNSTARTED:
		claims_resume(entry->claims, &key->digest, &startable);
		if (startable)
			start_or_refuse(sim, entry, key);
		break;
	case CLAIM_OWNED_BY_OTHER:
		other = find_entry(sim, &owner);
		if (other && !forwarded)
			submit(sim, other, key, true);
		break;
	case CLAIM_PENDING:
	case CLAIM_OWNED:
		break;
	}
}

static void send_append(struct simulation *sim, uint32_t entry)
{
	char *text;

	if (sim->pending_count == MAX_PENDING_APPENDS)
		return;
	text = claims_take_batch(sim->entries[entry].claims);
	if (text)
		sim->pending_appends[sim->pending_count++] = (struct pending_append){text, entry};
}

static void add_record(struct simulation *sim, char *text)
{
	if (sim->stream_count == MAX_RECORDS)
		free(text);
	else
		sim->stream[sim->stream_count++] = (struct record){text, sim->now_ms};
}

/* Adds the record of a pending append to the stream. With DUPLICATE, the append remains pending, so
 * its record appears in the stream again later. */
static void complete_append(struct simulation *sim, uint32_t index, bool duplicate)
{
	struct pending_append *append;

	if (sim->pending_count == 0)
		return;
	append = &sim->pending_appends[index % sim->pending_count];
	if (duplicate) {
		add_record(sim, strdup(append->text));
		return;
	}
	add_record(sim, append->text);
	*append = sim->pending_appends[--sim->pending_count];
}

static void drop_append(struct simulation *sim, uint32_t index)
{
	if (sim->pending_count == 0)
		return;
	index %= sim->pending_count;
	free(sim->pending_appends[index].text);
	sim->pending_appends[index] = sim->pending_appends[--sim->pending_count];
}

static void advance_time(struct simulation *sim, int64_t ms)
{
	sim->now_ms += ms;
	for (uint32_t i = 0; i < ENTRY_COUNT; i++) {
		claims_expire(sim->entries[i].claims, wall_ms(sim, &sim->entries[i]));
		session_expire(sim->entries[i].sessions, sim->now_ms * 1000, 2);
	}
}

/* Adds a record of an unknown version or with invalid content, which every reader must ignore. */
static void add_invalid_record(struct simulation *sim, const struct key *key, uint32_t form)
{
	static const char *const forms[] = {
		"{\"version\":2,\"owner\":\"%s\",\"keys\":[\"%s\"]}",
		"{\"version\":1,\"owner\":\"%s\",\"keys\":[\"%s\",\"short\"]}",
		"{\"version\":1,\"owner\":\"%s\",\"keys\":[\"%s\"",
	};
	char owner[IDENT_HEX_BYTES];
	char digest[IDENT_HEX_BYTES];
	char text[160];

	g_snprintf(text, sizeof(text), forms[form % G_N_ELEMENTS(forms)],
		   ident_format(&sim->entries[0].incarnation, owner),
		   ident_format(&key->digest, digest));
	add_record(sim, strdup(text));
}

static void open_session(struct simulation *sim, struct entry *entry)
{
	struct session_model *session = &sim->session_models[sim->session_count];

	if (sim->session_count == MAX_SESSIONS)
		return;
	*session = (struct session_model){.opened_ms = sim->now_ms};
	if (session_open(entry->sessions, ++sim->last_session_serial, sim->now_ms * 1000,
			 &session->token, NULL) == STATUS_OK)
		sim->session_count++;
}

static enum status expected_session_status(const struct simulation *sim,
					   const struct session_model *session, uint32_t key,
					   uint32_t body)
{
	int64_t age_ms = sim->now_ms - session->opened_ms;

	if (session->closed || age_ms >= LIFETIME_MS + RETAIN_MS)
		return STATUS_SESSION_GONE;
	if (session->body_plus_one[key] == 0)
		return age_ms >= LIFETIME_MS ? STATUS_SESSION_GONE : STATUS_OK;
	return session->body_plus_one[key] == body + 1 ? STATUS_OK : STATUS_KEY_CONFLICT;
}

/* Submits a job of a session to the entry that opened the session, to which any other entry would
 * forward the job.
 * Does nothing if that entry was restarted. */
static void submit_in_session(struct simulation *sim, struct session_model *session, uint32_t key,
			      uint32_t body)
{
	struct entry *owner = find_entry(sim, &session->token.incarnation);
	enum status expected = expected_session_status(sim, session, key, body);
	struct ident body_digest = {{(uint8_t)body}};
	enum session_key_state state;
	struct handle *job;
	enum status status;
	char text[2] = {(char)('a' + key), 0};

	if (!owner)
		return;
	status = session_register_key(owner->sessions, session->token.serial, text, &body_digest,
				      sim->now_ms * 1000, &state, &job, NULL);
	if (status == STATUS_TOO_MANY_REQUESTS && session->body_plus_one[key] == 0)
		return;
	expect(sim, status == expected, "the session store and the model disagree on a job");
	if (status != STATUS_OK)
		return;
	expect(sim, (state == SESSION_KEY_NEW) == (session->body_plus_one[key] == 0),
	       "a key of a session would be started twice or never");
	expect(sim,
	       job->index ==
		       (state == SESSION_KEY_NEW ? 0 : session->token.serial * KEY_COUNT + key),
	       "a key of a session has the wrong job");
	job->index = (uint32_t)session->token.serial * KEY_COUNT + key;
	session->body_plus_one[key] = (uint8_t)(body + 1);
}

static void close_or_remove_key(struct simulation *sim, struct session_model *session, uint32_t key,
				bool close)
{
	struct entry *owner = find_entry(sim, &session->token.incarnation);
	char text[2] = {(char)('a' + key), 0};

	if (!owner)
		return;
	if (close) {
		session_close(owner->sessions, session->token.serial, NULL);
		session->closed = true;
		return;
	}
	session_remove_key(owner->sessions, session->token.serial, text);
	session->body_plus_one[key] = 0;
}

static void apply_claims_step(struct simulation *sim, const struct sequence_step *step)
{
	struct entry *entry = &sim->entries[step->a % ENTRY_COUNT];
	struct key *key = &sim->keys[step->b % KEY_COUNT];

	switch ((enum step_kind)step->kind) {
	case STEP_SUBMIT:
		sim->refuse_next = step->c % 8 == 0;
		submit(sim, entry, key, false);
		break;
	case STEP_SEND_APPEND:
		send_append(sim, step->a % ENTRY_COUNT);
		break;
	case STEP_COMPLETE_APPEND:
	case STEP_DUPLICATE_APPEND:
		complete_append(sim, step->b, step->kind == STEP_DUPLICATE_APPEND);
		break;
	case STEP_DROP_APPEND:
		drop_append(sim, step->b);
		break;
	case STEP_READ_STREAM:
		sim->refuse_next = step->c % 8 == 0;
		read_stream(sim, entry, 1 + step->b % 4);
		break;
	case STEP_ABANDON:
		claims_abandon(entry->claims, &key->digest);
		break;
	case STEP_RESTART_ENTRY:
		restart_entry(sim, entry);
		break;
	case STEP_ADD_INVALID_RECORD:
		add_invalid_record(sim, key, step->c);
		break;
	default:
		break;
	}
}

static void apply_session_step(struct simulation *sim, const struct sequence_step *step)
{
	struct session_model *session = &sim->session_models[step->a % MAX(sim->session_count, 1)];

	if (step->kind == STEP_OPEN_SESSION)
		open_session(sim, &sim->entries[step->a % ENTRY_COUNT]);
	if (step->kind == STEP_ADVANCE_TIME)
		advance_time(sim, step->a < 200 ? step->b * 100 : step->b * (int64_t)MINUTE_MS / 8);
	if (sim->session_count == 0)
		return;
	if (step->kind == STEP_SUBMIT_IN_SESSION)
		submit_in_session(sim, session, step->b % KEY_COUNT, step->c % 8 ? 0 : 1);
	if (step->kind == STEP_REMOVE_KEY || step->kind == STEP_CLOSE_SESSION)
		close_or_remove_key(sim, session, step->b % KEY_COUNT,
				    step->kind == STEP_CLOSE_SESSION);
}

/* Checks that, once the log is available again, a valid key that was not started yet is started
 * when it is submitted, unless its owner is gone. */
static void check_progress(struct simulation *sim)
{
	sim->refuse_next = false;
	while (sim->pending_count > 0)
		complete_append(sim, 0, false);
	for (uint32_t round = 0; round < 2; round++) {
		for (uint32_t i = 0; i < ENTRY_COUNT; i++)
			read_stream(sim, &sim->entries[i], MAX_RECORDS);
		/* A claim that is still pending will never be decided, because its append was
		 * dropped or the stream was full. */
		for (uint32_t i = 0; i < ENTRY_COUNT * KEY_COUNT; i++)
			claims_abandon(sim->entries[i / KEY_COUNT].claims,
				       &sim->keys[i % KEY_COUNT].digest);
		for (uint32_t i = 0; i < KEY_COUNT; i++)
			submit(sim, &sim->entries[round], &sim->keys[i], false);
		for (uint32_t i = 0; i < ENTRY_COUNT; i++)
			send_append(sim, i);
		while (sim->pending_count > 0)
			complete_append(sim, 0, false);
	}
	for (uint32_t i = 0; i < ENTRY_COUNT; i++)
		read_stream(sim, &sim->entries[i], MAX_RECORDS);
	for (uint32_t i = 0; i < KEY_COUNT; i++) {
		struct key *key = &sim->keys[i];
		struct entry *entry = &sim->entries[0];
		struct ident owner = {{0}};
		bool other =
			claims_find(entry->claims, &key->digest, &owner) == CLAIM_OWNED_BY_OTHER;

		/* The clock of entry 0 is the slowest, that of entry 2 the fastest. */
		if (claims_check_key(key->text, wall_ms(sim, &sim->entries[2]), WINDOW_MS, NULL) ||
		    claims_check_key(key->text, wall_ms(sim, entry), WINDOW_MS, NULL))
			continue;
		expect(sim, key->start_count == 1 || (other && !find_entry(sim, &owner)),
		       "a key was not started although its owner is running");
	}
}

static void simulation_free(struct simulation *sim)
{
	for (uint32_t i = 0; i < ENTRY_COUNT; i++) {
		claims_free(sim->entries[i].claims);
		session_store_free(sim->entries[i].sessions);
	}
	for (uint32_t i = 0; i < sim->stream_count; i++)
		free(sim->stream[i].text);
	while (sim->pending_count > 0)
		drop_append(sim, 0);
}

static const char *run_steps(const struct sequence_step *steps, size_t count,
			     uint64_t sequence_seed)
{
	struct simulation sim = {.now_ms = 1700000000000};

	for (uint32_t i = 0; i < ENTRY_COUNT; i++)
		restart_entry(&sim, &sim.entries[i]);
	for (uint32_t i = 0; i < KEY_COUNT; i++)
		make_key(&sim, &sim.keys[i], sequence_seed + (uint64_t)i * 50000);
	for (size_t i = 0; i < count && !sim.failure; i++) {
		apply_claims_step(&sim, &steps[i]);
		apply_session_step(&sim, &steps[i]);
	}
	if (!sim.failure)
		check_progress(&sim);
	simulation_free(&sim);
	return sim.failure;
}

/* Guards against a key that is started twice, by one entry or by two, or never although its owner
 * is running. */
static void test_against_model(void)
{
	const struct sequence_test test = {step_kinds, G_N_ELEMENTS(step_kinds), run_steps};

	sequence_check(&test, SEED, SEQUENCE_COUNT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ownership-diff/against-model", test_against_model);
	return g_test_run();
}
