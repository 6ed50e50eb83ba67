/* Several entries that share one claims stream and forward sessions to their owners, against sets
 * of what was started. */
#include <glib.h>
#include <stdlib.h>

#include "claims.h"
#include "sequence.h"
#include "session.h"

enum {
	ENTRIES = 3,
	KEYS = 6,
	BODIES = 2,
	SESSIONS = 8,
	RECORDS = 160,
	FLIGHTS = 32, /* appends under way */
	SEED = 20261205,
	RUNS = 100000,
	MINUTE_MS = 60000,
	WINDOW_MS = 60 * MINUTE_MS,
	LIFETIME_MS = 30 * MINUTE_MS,
	RETAIN_MS = 10 * MINUTE_MS,
	SKEW_MS = MINUTE_MS, /* largest difference of a clock from that of the log */
};

enum kind {
	SUBMIT,
	TAKE,
	LAND,
	REPEAT,
	DROP,
	READ,
	ABANDON,
	REPLACE,
	TIME,
	FOREIGN,
	OPEN,
	PUT,
	FORGET,
	SHUT,
};

static const struct sequence_kind kinds[] = {
	[SUBMIT] = {"submit", 40},  [TAKE] = {"take", 20},	[LAND] = {"land", 20},
	[REPEAT] = {"repeat", 5},   [DROP] = {"drop", 4},	[READ] = {"read", 30},
	[ABANDON] = {"abandon", 8}, [REPLACE] = {"replace", 3}, [TIME] = {"time", 12},
	[FOREIGN] = {"foreign", 2}, [OPEN] = {"open", 6},	[PUT] = {"put", 40},
	[FORGET] = {"forget", 3},   [SHUT] = {"shut", 2},
};

/* A process: its incarnation, its claims as far as it read the stream, its sessions. */
struct entry {
	struct ident incarnation;
	struct claims *claims;
	struct session_store *sessions;
	uint32_t read;
	int64_t skew_ms;
};

struct record {
	char *text;
	int64_t time_ms;
};

struct flight {
	char *text;
	uint32_t entry;
};

/* A key of a client without a session. */
struct key {
	char text[40];
	struct ident digest;
	int64_t time_ms;
	uint32_t started;
};

/* A session and what the model knows of its keys. */
struct opened {
	struct session_token token;
	int64_t opened_ms;
	bool shut;
	uint8_t body[KEYS]; /* 0 when the key is not in use, else the body's number plus 1 */
};

struct world {
	struct entry entries[ENTRIES];
	struct record stream[RECORDS];
	struct flight flights[FLIGHTS];
	struct key keys[KEYS];
	struct opened opened[SESSIONS];
	uint32_t stream_count;
	uint32_t flight_count;
	uint32_t opened_count;
	uint32_t incarnations;
	uint32_t serial;
	int64_t now_ms;
	bool refuse; /* the next job that could start is refused instead */
	const char *failure;
};

static void expect(struct world *w, bool condition, const char *text)
{
	if (!condition && !w->failure)
		w->failure = text;
}

static int64_t wall_ms(const struct world *w, const struct entry *entry)
{
	return w->now_ms + entry->skew_ms;
}

static void boot(struct world *w, struct entry *entry)
{
	const struct session_limits limits = {(int64_t)LIFETIME_MS * 1000,
					      (int64_t)RETAIN_MS * 1000, 4, 8};

	claims_free(entry->claims);
	session_store_free(entry->sessions);
	*entry = (struct entry){.incarnation = {{(uint8_t)++w->incarnations}},
				.skew_ms = (int64_t)(entry - w->entries - 1) * SKEW_MS};
	entry->claims = claims_new(&entry->incarnation, WINDOW_MS);
	entry->sessions = session_store_new(&limits, &entry->incarnation);
}

/* A new key of a client whose clock is up to five minutes ahead. */
static void make_key(struct world *w, struct key *key, uint64_t salt)
{
	*key = (struct key){.time_ms = w->now_ms + (int64_t)(salt % CLAIM_FUTURE_LIMIT_MS)};
	g_snprintf(key->text, sizeof(key->text), "%08x-%04x-7000-8000-%012x",
		   (uint32_t)(key->time_ms >> 16), (uint32_t)(key->time_ms & 0xffff),
		   (uint32_t)salt);
	key->digest = claims_key_digest(key->text);
}

/* Starts the job of a key at an entry that may do so, or refuses it. */
static void start_or_refuse(struct world *w, struct entry *entry, struct key *key)
{
	if (w->refuse) {
		claims_set_unstarted(entry->claims, &key->digest);
		w->refuse = false;
		return;
	}
	expect(w, ++key->started == 1, "a key was started twice");
}

struct fold {
	struct world *world;
	struct entry *entry;
};

static void settled(void *context, const struct ident *digest, bool won, const struct ident *owner)
{
	struct fold *fold = context;

	expect(fold->world, won == ident_equal(owner, &fold->entry->incarnation),
	       "a claim is won for another owner");
	for (uint32_t i = 0; won && i < KEYS; i++) {
		if (ident_equal(&fold->world->keys[i].digest, digest))
			start_or_refuse(fold->world, fold->entry, &fold->world->keys[i]);
	}
}

static void read_stream(struct world *w, struct entry *entry, uint32_t count)
{
	struct fold fold = {w, entry};

	for (; count > 0 && entry->read < w->stream_count; count--, entry->read++) {
		const struct record *record = &w->stream[entry->read];

		claims_apply_record(entry->claims, entry->read, record->text, strlen(record->text),
				    record->time_ms, settled, &fold, NULL);
	}
}

static struct entry *find_entry(struct world *w, const struct ident *incarnation)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (ident_equal(&w->entries[i].incarnation, incarnation))
			return &w->entries[i];
	}
	return NULL;
}

/* An entry gets a request with a key only; FORWARDED when another entry passed it on. */
static void submit(struct world *w, struct entry *entry, struct key *key, bool forwarded)
{
	struct ident owner;
	struct entry *other;
	bool startable;

	if (claims_check_key(key->text, wall_ms(w, entry), WINDOW_MS, NULL) != STATUS_OK)
		return;
	switch (claims_find(entry->claims, &key->digest, &owner)) {
	case CLAIM_NONE:
		claims_request(entry->claims, &key->digest);
		break;
	case CLAIM_ABANDONED:
	case CLAIM_UNSTARTED:
		claims_resume(entry->claims, &key->digest, &startable);
		if (startable)
			start_or_refuse(w, entry, key);
		break;
	case CLAIM_OWNED_BY_OTHER:
		other = find_entry(w, &owner);
		if (other && !forwarded)
			submit(w, other, key, true);
		break;
	case CLAIM_PENDING:
	case CLAIM_OWNED:
		break;
	}
}

static void take_batch(struct world *w, uint32_t entry)
{
	char *text;

	if (w->flight_count == FLIGHTS)
		return;
	text = claims_take_batch(w->entries[entry].claims);
	if (text)
		w->flights[w->flight_count++] = (struct flight){text, entry};
}

static void add_record(struct world *w, char *text)
{
	if (w->stream_count == RECORDS)
		free(text);
	else
		w->stream[w->stream_count++] = (struct record){text, w->now_ms};
}

/* An append takes effect, now and when repeated once more later. */
static void land(struct world *w, uint32_t index, bool repeat)
{
	struct flight *flight;

	if (w->flight_count == 0)
		return;
	flight = &w->flights[index % w->flight_count];
	if (repeat) {
		add_record(w, strdup(flight->text));
		return;
	}
	add_record(w, flight->text);
	*flight = w->flights[--w->flight_count];
}

static void drop(struct world *w, uint32_t index)
{
	if (w->flight_count == 0)
		return;
	index %= w->flight_count;
	free(w->flights[index].text);
	w->flights[index] = w->flights[--w->flight_count];
}

static void pass_time(struct world *w, int64_t ms)
{
	w->now_ms += ms;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		claims_expire(w->entries[i].claims, wall_ms(w, &w->entries[i]));
		session_expire(w->entries[i].sessions, w->now_ms * 1000, 2);
	}
}

/* Records that every reader must ignore alike. */
static void add_foreign(struct world *w, const struct key *key, uint32_t form)
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
		   ident_format(&w->entries[0].incarnation, owner),
		   ident_format(&key->digest, digest));
	add_record(w, strdup(text));
}

static void open_session(struct world *w, struct entry *entry)
{
	struct opened *opened = &w->opened[w->opened_count];

	if (w->opened_count == SESSIONS)
		return;
	*opened = (struct opened){.opened_ms = w->now_ms};
	if (session_open(entry->sessions, ++w->serial, w->now_ms * 1000, &opened->token, NULL) ==
	    STATUS_OK)
		w->opened_count++;
}

static enum status expected_put(const struct world *w, const struct opened *opened, uint32_t key,
				uint32_t body)
{
	int64_t age_ms = w->now_ms - opened->opened_ms;

	if (opened->shut || age_ms >= LIFETIME_MS + RETAIN_MS)
		return STATUS_SESSION_GONE;
	if (opened->body[key] == 0)
		return age_ms >= LIFETIME_MS ? STATUS_SESSION_GONE : STATUS_OK;
	return opened->body[key] == body + 1 ? STATUS_OK : STATUS_KEY_CONFLICT;
}

/* A job under a session reaches its owner through any entry, as long as that incarnation lives. */
static void put_job(struct world *w, struct opened *opened, uint32_t key, uint32_t body)
{
	struct entry *owner = find_entry(w, &opened->token.incarnation);
	enum status wanted = expected_put(w, opened, key, body);
	struct ident body_digest = {{(uint8_t)body}};
	enum session_key_state state;
	struct handle *job;
	enum status status;
	char text[2] = {(char)('a' + key), 0};

	if (!owner)
		return;
	status = session_register_key(owner->sessions, opened->token.serial, text, &body_digest,
				      w->now_ms * 1000, &state, &job, NULL);
	if (status == STATUS_TOO_MANY_REQUESTS && opened->body[key] == 0)
		return;
	expect(w, status == wanted, "a session decides otherwise than the model");
	if (status != STATUS_OK)
		return;
	expect(w, (state == SESSION_KEY_NEW) == (opened->body[key] == 0),
	       "a session's key would be started twice or never");
	expect(w, job->index == (state == SESSION_KEY_NEW ? 0 : opened->token.serial * KEYS + key),
	       "a key's job is another");
	job->index = (uint32_t)opened->token.serial * KEYS + key;
	opened->body[key] = (uint8_t)(body + 1);
}

static void shut_or_forget(struct world *w, struct opened *opened, uint32_t key, bool shut)
{
	struct entry *owner = find_entry(w, &opened->token.incarnation);
	char text[2] = {(char)('a' + key), 0};

	if (!owner)
		return;
	if (shut) {
		session_close(owner->sessions, opened->token.serial, NULL);
		opened->shut = true;
		return;
	}
	session_remove_key(owner->sessions, opened->token.serial, text);
	opened->body[key] = 0;
}

static void step_claims(struct world *w, const struct step *step)
{
	struct entry *entry = &w->entries[step->a % ENTRIES];
	struct key *key = &w->keys[step->b % KEYS];

	switch ((enum kind)step->kind) {
	case SUBMIT:
		w->refuse = step->c % 8 == 0;
		submit(w, entry, key, false);
		break;
	case TAKE:
		take_batch(w, step->a % ENTRIES);
		break;
	case LAND:
	case REPEAT:
		land(w, step->b, step->kind == REPEAT);
		break;
	case DROP:
		drop(w, step->b);
		break;
	case READ:
		w->refuse = step->c % 8 == 0;
		read_stream(w, entry, 1 + step->b % 4);
		break;
	case ABANDON:
		claims_abandon(entry->claims, &key->digest);
		break;
	case REPLACE:
		boot(w, entry);
		break;
	case FOREIGN:
		add_foreign(w, key, step->c);
		break;
	default:
		break;
	}
}

static void step_sessions(struct world *w, const struct step *step)
{
	struct opened *opened = &w->opened[step->a % MAX(w->opened_count, 1)];

	if (step->kind == OPEN)
		open_session(w, &w->entries[step->a % ENTRIES]);
	if (step->kind == TIME)
		pass_time(w, step->a < 200 ? step->b * 100 : step->b * (int64_t)MINUTE_MS / 8);
	if (w->opened_count == 0)
		return;
	if (step->kind == PUT)
		put_job(w, opened, step->b % KEYS, step->c % 8 ? 0 : 1);
	if (step->kind == FORGET || step->kind == SHUT)
		shut_or_forget(w, opened, step->b % KEYS, step->kind == SHUT);
}

/* With the log answering again, a valid key that no one started must start when it is submitted,
 * unless its owner is gone. */
static void check_progress(struct world *w)
{
	w->refuse = false;
	while (w->flight_count > 0)
		land(w, 0, false);
	for (uint32_t round = 0; round < 2; round++) {
		for (uint32_t i = 0; i < ENTRIES; i++)
			read_stream(w, &w->entries[i], RECORDS);
		/* What is still pending was dropped; its waits end. */
		for (uint32_t i = 0; i < ENTRIES * KEYS; i++)
			claims_abandon(w->entries[i / KEYS].claims, &w->keys[i % KEYS].digest);
		for (uint32_t i = 0; i < KEYS; i++)
			submit(w, &w->entries[round], &w->keys[i], false);
		for (uint32_t i = 0; i < ENTRIES; i++)
			take_batch(w, i);
		while (w->flight_count > 0)
			land(w, 0, false);
	}
	for (uint32_t i = 0; i < ENTRIES; i++)
		read_stream(w, &w->entries[i], RECORDS);
	for (uint32_t i = 0; i < KEYS; i++) {
		struct key *key = &w->keys[i];
		struct entry *entry = &w->entries[0];
		struct ident owner = {{0}};
		bool other =
			claims_find(entry->claims, &key->digest, &owner) == CLAIM_OWNED_BY_OTHER;

		if (claims_check_key(key->text, wall_ms(w, &w->entries[2]), WINDOW_MS, NULL) ||
		    claims_check_key(key->text, wall_ms(w, entry), WINDOW_MS, NULL))
			continue;
		expect(w, key->started == 1 || (other && !find_entry(w, &owner)),
		       "a key whose owner lives was not started");
	}
}

static void free_world(struct world *w)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		claims_free(w->entries[i].claims);
		session_store_free(w->entries[i].sessions);
	}
	for (uint32_t i = 0; i < w->stream_count; i++)
		free(w->stream[i].text);
	while (w->flight_count > 0)
		drop(w, 0);
}

static const char *run(const struct step *steps, size_t count, uint64_t salt)
{
	struct world w = {.now_ms = 1700000000000};

	for (uint32_t i = 0; i < ENTRIES; i++)
		boot(&w, &w.entries[i]);
	for (uint32_t i = 0; i < KEYS; i++)
		make_key(&w, &w.keys[i], salt + (uint64_t)i * 50000);
	for (size_t i = 0; i < count && !w.failure; i++) {
		step_claims(&w, &steps[i]);
		step_sessions(&w, &steps[i]);
	}
	if (!w.failure)
		check_progress(&w);
	free_world(&w);
	return w.failure;
}

/* Guards against a key that two entries start, or one entry twice, or none although its owner
 * lives. */
static void test_against_model(void)
{
	const struct sequence_test test = {kinds, G_N_ELEMENTS(kinds), run};

	sequence_check(&test, SEED, RUNS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ownership-diff/against-model", test_against_model);
	return g_test_run();
}
