/* Lets several replicas read random log streams and compares them with a simple model that sees the
 * whole stream. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

enum {
	SEED = 20261204,
	SEQUENCE_COUNT = 100000,
	MAX_OPS = 40,
	READER_COUNT = 3,
	SNAPSHOT_SLOT_COUNT = 2, /* snapshots saved for a later append */
	TEAM_COUNT = 3,
	NO_OFFSET = -1
};

enum op_kind {
	OP_APPEND_PATCH,  /* a: reader whose version is the base; b: shift of the base, team, weight
			   */
	OP_APPEND_COPY,	  /* a: record to append again */
	OP_SAVE_SNAPSHOT, /* a: reader that makes the snapshot; b: slot to save it in */
	OP_APPEND_SNAPSHOT,  /* a: slot of the saved snapshot */
	OP_APPEND_MALFORMED, /* a patch record without its required members */
	OP_TRUNCATE,	     /* a: number of records that expire */
	OP_READ,	     /* a: reader; b: number of records to read */
	OP_RESTART,	     /* a: reader that loses its state */
	OP_ADOPT,	     /* a: reader that adopts the state of reader b */
	OP_KIND_COUNT
};

static const char *const op_names[OP_KIND_COUNT] = {"append-patch",
						    "append-copy",
						    "save-snapshot",
						    "append-snapshot",
						    "append-malformed",
						    "truncate",
						    "read",
						    "restart",
						    "adopt"};

/* Relative frequency of each kind. */
static const int op_weights[OP_KIND_COUNT] = {8, 2, 2, 3, 1, 2, 10, 1, 2};

struct op {
	enum op_kind kind;
	uint32_t a;
	uint32_t b;
};

/* The expected configuration: the weight of each team, 0 when the team is absent. */
struct model_document {
	int weights[TEAM_COUNT];
};

struct model_record {
	char *text;
	int id; /* id of a patch, -1 for other records */
	uint64_t base_version;
	int team;
	int weight; /* 0 removes the team, -1 is invalid */
	int64_t snapshot_offset;
	enum config_effect effect; /* effect on a synced reader */
	uint64_t version;	   /* version after the record */
};

/* A replica and its expected state. */
struct reader {
	struct config_replica *replica;
	uint64_t next_offset;
	uint64_t first_offset; /* the reader has read all records from here to next_offset */
	bool synced;
	uint64_t version; /* highest effective version seen */
};

struct simulation {
	struct model_record records[MAX_OPS];
	struct model_document documents[MAX_OPS + 1]; /* by version */
	uint64_t record_count;
	uint64_t first_offset; /* records below it have expired */
	uint64_t version;
	int next_id;
	struct reader readers[READER_COUNT];
	char *snapshots[SNAPSHOT_SLOT_COUNT];
	int64_t snapshot_offsets[SNAPSHOT_SLOT_COUNT];
	char failure[200];
};

#define FAIL(sim, ...)                                                                             \
	do {                                                                                       \
		if (!(sim)->failure[0])                                                            \
			g_snprintf((sim)->failure, sizeof((sim)->failure), __VA_ARGS__);           \
	} while (0)

static bool id_was_appended(const struct simulation *sim, int id)
{
	for (uint64_t i = 0; i < sim->record_count; i++) {
		if (sim->records[i].id == id)
			return true;
	}
	return false;
}

/* Appends RECORD to the stream and applies it to the model. */
static void model_append(struct simulation *sim, struct model_record record)
{
	record.effect = CONFIG_EFFECT_NONE;
	if (record.id >= 0 && !id_was_appended(sim, record.id)) {
		record.effect = CONFIG_EFFECT_REJECTED;
		if (record.base_version == sim->version && record.weight >= 0) {
			struct model_document next = sim->documents[sim->version];

			next.weights[record.team] = record.weight;
			sim->documents[++sim->version] = next;
			record.effect = CONFIG_EFFECT_APPLIED;
		}
	}
	record.version = sim->version;
	sim->records[sim->record_count++] = record;
}

static void append_patch(struct simulation *sim, const struct op *op)
{
	static const int values[] = {0, 1, 2, 3, -1};
	static const int base_shift[] = {0, 0, 0, 0, 0, 0, -1, 1};
	uint64_t base = config_version(sim->readers[op->a % READER_COUNT].replica);
	struct model_record record = {.id = sim->next_id++,
				      .team = (int)(op->b / 8 % TEAM_COUNT),
				      .weight =
					      values[op->b / 8 / TEAM_COUNT % G_N_ELEMENTS(values)],
				      .snapshot_offset = NO_OFFSET};
	struct ident id = {.bytes = {(uint8_t)record.id, 1}};
	char name[2] = {(char)('a' + record.team), '\0'};
	/* 0 is below the lowest valid weight, so -1 gives an invalid document. */
	json_t *value =
		record.weight ? json_pack("{si}", "weight", MAX(record.weight, 0)) : json_null();
	json_t *patch = json_pack("{s{so}}", "teams", name, value);

	record.base_version = base + (uint64_t)base_shift[op->b % 8];
	if (base == 0 && op->b % 8 == 6)
		record.base_version = 0;
	record.text = config_format_patch(&id, record.base_version, patch, "", 0);
	json_decref(patch);
	model_append(sim, record);
}

static void append_copy(struct simulation *sim, const struct op *op)
{
	struct model_record record;

	if (sim->record_count == 0)
		return;
	record = sim->records[op->a % sim->record_count];
	record.text = g_strdup(record.text);
	model_append(sim, record);
}

static void save_snapshot(struct simulation *sim, const struct op *op)
{
	const struct reader *reader = &sim->readers[op->a % READER_COUNT];
	uint32_t slot = op->b % SNAPSHOT_SLOT_COUNT;
	char *text = config_format_snapshot(reader->replica, 0);

	if ((text != NULL) != reader->synced)
		FAIL(sim, "snapshot from a reader that is%s synced", reader->synced ? "" : " not");
	if (!text)
		return;
	free(sim->snapshots[slot]);
	sim->snapshots[slot] = text;
	sim->snapshot_offsets[slot] = (int64_t)reader->next_offset;
}

static void append_snapshot(struct simulation *sim, const struct op *op)
{
	uint32_t slot = op->a % SNAPSHOT_SLOT_COUNT;

	if (sim->snapshots[slot])
		model_append(sim,
			     (struct model_record){.id = -1,
						   .text = g_strdup(sim->snapshots[slot]),
						   .snapshot_offset = sim->snapshot_offsets[slot]});
}

static void append_malformed(struct simulation *sim)
{
	model_append(sim, (struct model_record){.id = -1,
						.text = g_strdup("{\"type\":\"patch\"}"),
						.snapshot_offset = NO_OFFSET});
}

/* Compares the effective state with the model document of the same version. */
static void check_reader(struct simulation *sim, struct reader *reader)
{
	uint64_t version = config_version(reader->replica);
	const json_t *teams = json_object_get(config_document(reader->replica), "teams");

	if (version < reader->version)
		FAIL(sim, "version went down from %llu to %llu",
		     (unsigned long long)reader->version, (unsigned long long)version);
	reader->version = version;
	if (version > sim->version) {
		FAIL(sim, "version %llu was never accepted", (unsigned long long)version);
		return;
	}
	for (int team = 0; team < TEAM_COUNT; team++) {
		char name[2] = {(char)('a' + team), '\0'};
		const json_t *weight = json_object_get(json_object_get(teams, name), "weight");

		if (json_integer_value(weight) != sim->documents[version].weights[team])
			FAIL(sim, "document of version %llu differs", (unsigned long long)version);
	}
	if (config_is_synced(reader->replica) != reader->synced)
		FAIL(sim, "reader is%s synced", reader->synced ? " not" : "");
	if (reader->synced && reader->next_offset > 0 &&
	    version < sim->records[reader->next_offset - 1].version)
		FAIL(sim, "version %llu lags behind the records read", (unsigned long long)version);
}

static enum config_effect apply_at(struct reader *reader, const struct model_record *record,
				   uint64_t offset)
{
	const char *text = record->text ? record->text : "";
	struct ident id;

	return config_replica_apply(reader->replica, offset, text, strlen(text), &id, NULL);
}

static void read_record(struct simulation *sim, struct reader *reader)
{
	const struct model_record *record;
	enum config_effect expected = CONFIG_EFFECT_NONE;
	enum config_effect effect;

	if (reader->next_offset < sim->first_offset) {
		config_replica_expire_below(reader->replica, sim->first_offset);
		reader->synced = false;
		reader->first_offset = sim->first_offset;
		reader->next_offset = sim->first_offset;
	}
	if (reader->next_offset == sim->record_count)
		return;
	record = &sim->records[reader->next_offset];
	if (record->snapshot_offset >= (int64_t)reader->first_offset) {
		expected = CONFIG_EFFECT_SNAPSHOT;
		reader->synced = true;
	} else if (reader->synced) {
		expected = record->effect;
	}
	effect = apply_at(reader, record, reader->next_offset);
	if (effect != expected)
		FAIL(sim, "record %llu: effect %d, expected %d",
		     (unsigned long long)reader->next_offset, effect, expected);
	reader->next_offset++;
	if (apply_at(reader, record, reader->next_offset - 1) != CONFIG_EFFECT_NONE)
		FAIL(sim, "a record that was read before had an effect");
}

static void restart_replica(struct simulation *sim, struct reader *reader)
{
	config_replica_free(reader->replica);
	*reader = (struct reader){.replica = config_replica_new(), .synced = true};
}

static void adopt_state(struct simulation *sim, const struct op *op)
{
	struct reader *to = &sim->readers[op->a % READER_COUNT];
	const struct reader *from = &sim->readers[op->b % READER_COUNT];
	uint64_t version = config_version(from->replica);
	bool expected = version > config_version(to->replica);
	char *text = json_dumps(config_document(from->replica), JSON_COMPACT);

	if (config_replica_adopt(to->replica, version, text, NULL) != expected)
		FAIL(sim, "adoption of version %llu", (unsigned long long)version);
	free(text);
}

static void execute_op(struct simulation *sim, const struct op *op)
{
	switch (op->kind) {
	case OP_APPEND_PATCH:
		append_patch(sim, op);
		break;
	case OP_APPEND_COPY:
		append_copy(sim, op);
		break;
	case OP_SAVE_SNAPSHOT:
		save_snapshot(sim, op);
		break;
	case OP_APPEND_SNAPSHOT:
		append_snapshot(sim, op);
		break;
	case OP_APPEND_MALFORMED:
		append_malformed(sim);
		break;
	case OP_TRUNCATE:
		sim->first_offset += op->a % (sim->record_count - sim->first_offset + 1);
		break;
	case OP_READ:
		for (uint32_t i = 0; i < 1 + op->b % 6; i++)
			read_record(sim, &sim->readers[op->a % READER_COUNT]);
		break;
	case OP_RESTART:
		restart_replica(sim, &sim->readers[op->a % READER_COUNT]);
		break;
	case OP_ADOPT:
		adopt_state(sim, op);
		break;
	case OP_KIND_COUNT:
		break;
	}
}

/* Compares the history of a reader at the end of the stream with the records. */
static void check_history(struct simulation *sim, const struct reader *reader)
{
	struct config_change changes[CONFIG_HISTORY_LENGTH];
	uint32_t count = config_history(reader->replica, changes, CONFIG_HISTORY_LENGTH);
	uint32_t age = 0;

	for (uint64_t i = sim->record_count; i-- > 0;) {
		const struct model_record *record = &sim->records[i];

		if (record->effect == CONFIG_EFFECT_NONE)
			continue;
		if (age == count || changes[age].offset != i ||
		    changes[age].version != record->version ||
		    changes[age].base_version != record->base_version ||
		    changes[age].accepted != (record->effect == CONFIG_EFFECT_APPLIED)) {
			FAIL(sim, "history differs at record %llu", (unsigned long long)i);
			return;
		}
		age++;
	}
	if (age != count)
		FAIL(sim, "history has %u entries, expected %u", count, age);
}

/* Lets every reader read to the end of the stream. Readers that are synced then must agree with the
 * model. */
static void check_final_states(struct simulation *sim)
{
	for (int i = 0; i < READER_COUNT; i++) {
		struct reader *reader = &sim->readers[i];

		do {
			read_record(sim, reader);
			check_reader(sim, reader);
		} while (reader->next_offset < sim->record_count);
		if (!reader->synced)
			continue;
		if (config_version(reader->replica) != sim->version)
			FAIL(sim, "reader %d ends at version %llu, expected %llu", i,
			     (unsigned long long)config_version(reader->replica),
			     (unsigned long long)sim->version);
		check_history(sim, reader);
	}
}

/* Executes OPS in a new simulation. Returns whether all checks pass; FAILURE receives the first
 * that fails. */
static bool sequence_passes(const struct op *ops, size_t count, char failure[200])
{
	struct simulation *sim = g_new0(struct simulation, 1);
	bool passes;

	for (int i = 0; i < READER_COUNT; i++)
		restart_replica(sim, &sim->readers[i]);
	for (size_t i = 0; i < count && !sim->failure[0]; i++) {
		execute_op(sim, &ops[i]);
		for (int r = 0; r < READER_COUNT; r++)
			check_reader(sim, &sim->readers[r]);
	}
	if (!sim->failure[0])
		check_final_states(sim);
	passes = !sim->failure[0];
	memcpy(failure, sim->failure, sizeof(sim->failure));
	for (int i = 0; i < READER_COUNT; i++)
		config_replica_free(sim->readers[i].replica);
	for (uint64_t i = 0; i < sim->record_count; i++)
		free(sim->records[i].text);
	for (int i = 0; i < SNAPSHOT_SLOT_COUNT; i++)
		free(sim->snapshots[i]);
	g_free(sim);
	return passes;
}

/* Removes runs of consecutive operations, halving the length of the runs, as long as the
 * remaining sequence still fails. Returns the number of operations left. */
static size_t shrink_sequence(struct op *ops, size_t count, char failure[200])
{
	struct op shorter[MAX_OPS];

	for (size_t run = count / 2; run > 0; run /= 2) {
		for (size_t from = 0; from + run <= count;) {
			char reason[200];

			memcpy(shorter, ops, from * sizeof(*ops));
			memcpy(shorter + from, ops + from + run,
			       (count - from - run) * sizeof(*ops));
			if (sequence_passes(shorter, count - run, reason)) {
				from++;
				continue;
			}
			count -= run;
			memcpy(ops, shorter, count * sizeof(*ops));
			memcpy(failure, reason, sizeof(reason));
		}
	}
	return count;
}

static enum op_kind random_kind(GRand *random)
{
	int total = 0;
	int drawn;

	for (int i = 0; i < OP_KIND_COUNT; i++)
		total += op_weights[i];
	drawn = g_rand_int_range(random, 0, total);
	for (int i = 0; i < OP_KIND_COUNT; i++) {
		drawn -= op_weights[i];
		if (drawn < 0)
			return (enum op_kind)i;
	}
	return OP_READ;
}

static void report_failure(struct op *ops, size_t count, int sequence, char failure[200])
{
	count = shrink_sequence(ops, count, failure);
	printf("# seed %d, sequence %d: %s; shrunk to %zu operations:\n", SEED, sequence, failure,
	       count);
	for (size_t i = 0; i < count; i++)
		printf("#   %s %u %u\n", op_names[ops[i].kind], ops[i].a, ops[i].b);
	fflush(stdout);
	g_test_fail();
}

/*
 * Readers that start at different times must agree on every version, whatever the interleaving of
 * concurrent patches, repeated appends, late snapshots, truncation and adopted states. A reader
 * that diverges would run tasks under rules that no operator has set.
 */
static void test_readers_agree(void)
{
	GRand *random = g_rand_new_with_seed(SEED);

	printf("# seed %d, %d sequences\n", SEED, SEQUENCE_COUNT);
	for (int sequence = 0; sequence < SEQUENCE_COUNT && !g_test_failed(); sequence++) {
		size_t count = (size_t)g_rand_int_range(random, 1, MAX_OPS + 1);
		struct op ops[MAX_OPS];
		char failure[200];

		for (size_t i = 0; i < count; i++)
			ops[i] = (struct op){.kind = random_kind(random),
					     .a = g_rand_int(random),
					     .b = g_rand_int(random)};
		if (!sequence_passes(ops, count, failure))
			report_failure(ops, count, sequence, failure);
	}
	g_rand_free(random);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-diff/readers-agree", test_readers_agree);
	return g_test_run();
}
