/* Random streams read by several folds, compared with a naive replica that sees the whole stream.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

enum {
	SEED = 20261204,
	SEQUENCES = 100000,
	MAX_OPS = 40,
	READERS = 3,
	SLOTS = 2, /* snapshots taken and not yet appended */
	KEYS = 3,
	NO_OFFSET = -1
};

enum op_kind {
	OP_PATCH,    /* a: reader whose version it is based on; b: base offset, key and value */
	OP_REPEAT,   /* a: record to be appended again */
	OP_TAKE,     /* a: reader whose snapshot is taken; b: slot */
	OP_PUT,	     /* a: slot to be appended */
	OP_GARBAGE,  /* a record that is not understood */
	OP_TRUNCATE, /* a: records that expire */
	OP_READ,     /* a: reader; b: records to read */
	OP_RESTART,  /* a: reader that loses its state */
	OP_ADOPT,    /* a: reader that takes the state of reader b */
	OP_KINDS
};

static const char *const op_names[OP_KINDS] = {"patch",	   "repeat", "take",	"put",	"garbage",
					       "truncate", "read",   "restart", "adopt"};

/* How often each kind is drawn. */
static const int op_weights[OP_KINDS] = {8, 2, 2, 3, 1, 2, 10, 1, 2};

struct op {
	enum op_kind kind;
	uint32_t a;
	uint32_t b;
};

/* The configuration as the test knows it: the weight of each team, 0 when it is absent. */
struct naive_document {
	int weights[KEYS];
};

struct naive_record {
	char *text;
	int id; /* of a patch, else -1 */
	uint64_t base;
	int key;
	int weight; /* 0 removes the team, -1 is not valid */
	int64_t snapshot_offset;
	enum config_effect effect; /* for a reader that follows the stream */
	uint64_t version;	   /* after it */
};

struct reader {
	struct config_replica *replica;
	uint64_t next;
	uint64_t first; /* it has read every record from here to next */
	bool synced;
	uint64_t version; /* highest seen in force */
};

struct world {
	struct naive_record records[MAX_OPS];
	struct naive_document documents[MAX_OPS + 1]; /* by version */
	uint64_t length;
	uint64_t first;
	uint64_t version;
	int ids;
	struct reader readers[READERS];
	char *slots[SLOTS];
	int64_t slot_offsets[SLOTS];
	char failure[200];
};

#define FAIL(world, ...)                                                                           \
	do {                                                                                       \
		if (!(world)->failure[0])                                                          \
			g_snprintf((world)->failure, sizeof((world)->failure), __VA_ARGS__);       \
	} while (0)

static bool id_was_folded(const struct world *world, int id)
{
	for (uint64_t i = 0; i < world->length; i++) {
		if (world->records[i].id == id)
			return true;
	}
	return false;
}

/* Appends RECORD to the stream and folds it naively. */
static void naive_append(struct world *world, struct naive_record record)
{
	record.effect = CONFIG_EFFECT_NONE;
	if (record.id >= 0 && !id_was_folded(world, record.id)) {
		record.effect = CONFIG_EFFECT_REJECTED;
		if (record.base == world->version && record.weight >= 0) {
			struct naive_document next = world->documents[world->version];

			next.weights[record.key] = record.weight;
			world->documents[++world->version] = next;
			record.effect = CONFIG_EFFECT_APPLIED;
		}
	}
	record.version = world->version;
	world->records[world->length++] = record;
}

static void append_patch(struct world *world, const struct op *op)
{
	static const int values[] = {0, 1, 2, 3, -1};
	static const int base_shift[] = {0, 0, 0, 0, 0, 0, -1, 1};
	uint64_t base = config_version(world->readers[op->a % READERS].replica);
	struct naive_record record = {.id = world->ids++,
				      .key = (int)(op->b / 8 % KEYS),
				      .weight = values[op->b / 8 / KEYS % G_N_ELEMENTS(values)],
				      .snapshot_offset = NO_OFFSET};
	struct ident id = {.bytes = {(uint8_t)record.id, 1}};
	char name[2] = {(char)('a' + record.key), '\0'};
	json_t *value =
		record.weight ? json_pack("{si}", "weight", MAX(record.weight, 0)) : json_null();
	json_t *patch = json_pack("{s{so}}", "teams", name, value);

	record.base = base + (uint64_t)base_shift[op->b % 8];
	if (base == 0 && op->b % 8 == 6)
		record.base = 0;
	record.text = config_patch_record(&id, record.base, patch, "", 0);
	json_decref(patch);
	naive_append(world, record);
}

static void append_copy(struct world *world, const struct op *op)
{
	struct naive_record record;

	if (world->length == 0)
		return;
	record = world->records[op->a % world->length];
	record.text = g_strdup(record.text);
	naive_append(world, record);
}

static void take_snapshot(struct world *world, const struct op *op)
{
	const struct reader *reader = &world->readers[op->a % READERS];
	uint32_t slot = op->b % SLOTS;
	char *text = config_snapshot_record(reader->replica, 0);

	if ((text != NULL) != reader->synced)
		FAIL(world, "snapshot from a reader that is%s synced",
		     reader->synced ? "" : " not");
	if (!text)
		return;
	free(world->slots[slot]);
	world->slots[slot] = text;
	world->slot_offsets[slot] = (int64_t)reader->next;
}

static void append_snapshot(struct world *world, const struct op *op)
{
	uint32_t slot = op->a % SLOTS;

	if (world->slots[slot])
		naive_append(world,
			     (struct naive_record){.id = -1,
						   .text = g_strdup(world->slots[slot]),
						   .snapshot_offset = world->slot_offsets[slot]});
}

static void append_garbage(struct world *world)
{
	naive_append(world, (struct naive_record){.id = -1,
						  .text = g_strdup("{\"type\":\"patch\"}"),
						  .snapshot_offset = NO_OFFSET});
}

/* Compares the state in force with the naive document of its version. */
static void check_reader(struct world *world, struct reader *reader)
{
	uint64_t version = config_version(reader->replica);
	const json_t *teams = json_object_get(config_document(reader->replica), "teams");

	if (version < reader->version)
		FAIL(world, "version went down from %llu to %llu",
		     (unsigned long long)reader->version, (unsigned long long)version);
	reader->version = version;
	if (version > world->version) {
		FAIL(world, "version %llu was never accepted", (unsigned long long)version);
		return;
	}
	for (int key = 0; key < KEYS; key++) {
		char name[2] = {(char)('a' + key), '\0'};
		const json_t *weight = json_object_get(json_object_get(teams, name), "weight");

		if (json_integer_value(weight) != world->documents[version].weights[key])
			FAIL(world, "document of version %llu differs",
			     (unsigned long long)version);
	}
	if (config_is_synced(reader->replica) != reader->synced)
		FAIL(world, "reader is%s synced", reader->synced ? " not" : "");
	if (reader->synced && reader->next > 0 &&
	    version < world->records[reader->next - 1].version)
		FAIL(world, "version %llu lags behind the records read",
		     (unsigned long long)version);
}

static enum config_effect fold_at(struct reader *reader, const struct naive_record *record,
				  uint64_t offset)
{
	const char *text = record->text ? record->text : "";
	struct ident id;

	return config_replica_apply(reader->replica, offset, text, strlen(text), &id, NULL);
}

static void read_one(struct world *world, struct reader *reader)
{
	const struct naive_record *record;
	enum config_effect wanted = CONFIG_EFFECT_NONE;
	enum config_effect effect;

	if (reader->next < world->first) {
		config_replica_truncated(reader->replica, world->first);
		reader->synced = false;
		reader->first = world->first;
		reader->next = world->first;
	}
	if (reader->next == world->length)
		return;
	record = &world->records[reader->next];
	if (record->snapshot_offset >= (int64_t)reader->first) {
		wanted = CONFIG_EFFECT_SNAPSHOT;
		reader->synced = true;
	} else if (reader->synced) {
		wanted = record->effect;
	}
	effect = fold_at(reader, record, reader->next);
	if (effect != wanted)
		FAIL(world, "record %llu: effect %d, expected %d", (unsigned long long)reader->next,
		     effect, wanted);
	reader->next++;
	if (fold_at(reader, record, reader->next - 1) != CONFIG_EFFECT_NONE)
		FAIL(world, "a record that was read already had an effect");
}

static void restart(struct world *world, struct reader *reader)
{
	config_replica_free(reader->replica);
	*reader = (struct reader){.replica = config_replica_new(), .synced = true};
}

static void adopt(struct world *world, const struct op *op)
{
	struct reader *to = &world->readers[op->a % READERS];
	const struct reader *from = &world->readers[op->b % READERS];
	uint64_t version = config_version(from->replica);
	bool wanted = version > config_version(to->replica);
	char *text = json_dumps(config_document(from->replica), JSON_COMPACT);

	if (config_replica_adopt(to->replica, version, text, NULL) != wanted)
		FAIL(world, "adoption of version %llu", (unsigned long long)version);
	free(text);
}

static void perform(struct world *world, const struct op *op)
{
	switch (op->kind) {
	case OP_PATCH:
		append_patch(world, op);
		break;
	case OP_REPEAT:
		append_copy(world, op);
		break;
	case OP_TAKE:
		take_snapshot(world, op);
		break;
	case OP_PUT:
		append_snapshot(world, op);
		break;
	case OP_GARBAGE:
		append_garbage(world);
		break;
	case OP_TRUNCATE:
		world->first += op->a % (world->length - world->first + 1);
		break;
	case OP_READ:
		for (uint32_t i = 0; i < 1 + op->b % 6; i++)
			read_one(world, &world->readers[op->a % READERS]);
		break;
	case OP_RESTART:
		restart(world, &world->readers[op->a % READERS]);
		break;
	case OP_ADOPT:
		adopt(world, op);
		break;
	case OP_KINDS:
		break;
	}
}

/* Compares the whole history of a reader at the end of the stream. */
static void check_history(struct world *world, const struct reader *reader)
{
	struct config_change changes[CONFIG_HISTORY_LENGTH];
	uint32_t count = config_history(reader->replica, changes, CONFIG_HISTORY_LENGTH);
	uint32_t age = 0;

	for (uint64_t i = world->length; i-- > 0;) {
		const struct naive_record *record = &world->records[i];

		if (record->effect == CONFIG_EFFECT_NONE)
			continue;
		if (age == count || changes[age].offset != i ||
		    changes[age].version != record->version || changes[age].base != record->base ||
		    changes[age].accepted != (record->effect == CONFIG_EFFECT_APPLIED)) {
			FAIL(world, "history differs at record %llu", (unsigned long long)i);
			return;
		}
		age++;
	}
	if (age != count)
		FAIL(world, "history has %u entries, expected %u", count, age);
}

/* Reads every reader to the end; those that follow the stream must all agree with the naive
 * replica.
 */
static void check_end(struct world *world)
{
	for (int i = 0; i < READERS; i++) {
		struct reader *reader = &world->readers[i];

		do {
			read_one(world, reader);
			check_reader(world, reader);
		} while (reader->next < world->length);
		if (!reader->synced)
			continue;
		if (config_version(reader->replica) != world->version)
			FAIL(world, "reader %d ends at version %llu, expected %llu", i,
			     (unsigned long long)config_version(reader->replica),
			     (unsigned long long)world->version);
		check_history(world, reader);
	}
}

/* Performs OPS in a new world. Returns whether all checks pass; FAILURE gets the first that does
 * not. */
static bool sequence_passes(const struct op *ops, size_t count, char failure[200])
{
	struct world *world = g_new0(struct world, 1);
	bool passes;

	for (int i = 0; i < READERS; i++)
		restart(world, &world->readers[i]);
	for (size_t i = 0; i < count && !world->failure[0]; i++) {
		perform(world, &ops[i]);
		for (int r = 0; r < READERS; r++)
			check_reader(world, &world->readers[r]);
	}
	if (!world->failure[0])
		check_end(world);
	passes = !world->failure[0];
	memcpy(failure, world->failure, sizeof(world->failure));
	for (int i = 0; i < READERS; i++)
		config_replica_free(world->readers[i].replica);
	for (uint64_t i = 0; i < world->length; i++)
		free(world->records[i].text);
	for (int i = 0; i < SLOTS; i++)
		free(world->slots[i]);
	g_free(world);
	return passes;
}

/* Removes runs of operations, shorter and shorter ones, as long as the rest still fails. */
static size_t shrink(struct op *ops, size_t count, char failure[200])
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

static enum op_kind draw_kind(GRand *random)
{
	int total = 0;
	int drawn;

	for (int i = 0; i < OP_KINDS; i++)
		total += op_weights[i];
	drawn = g_rand_int_range(random, 0, total);
	for (int i = 0; i < OP_KINDS; i++) {
		drawn -= op_weights[i];
		if (drawn < 0)
			return (enum op_kind)i;
	}
	return OP_READ;
}

static void report(struct op *ops, size_t count, int sequence, char failure[200])
{
	count = shrink(ops, count, failure);
	printf("# seed %d, sequence %d: %s; shrunk to %zu operations:\n", SEED, sequence, failure,
	       count);
	for (size_t i = 0; i < count; i++)
		printf("#   %s %u %u\n", op_names[ops[i].kind], ops[i].a, ops[i].b);
	fflush(stdout);
	g_test_fail();
}

/*
 * Readers that start at different times, with racing patches, repeated appends, late snapshots,
 * truncation and adopted states, must agree on every version; one that does not would run tasks
 * under rules that no operator has set.
 */
static void test_readers_agree(void)
{
	GRand *random = g_rand_new_with_seed(SEED);

	printf("# seed %d, %d sequences\n", SEED, SEQUENCES);
	for (int sequence = 0; sequence < SEQUENCES && !g_test_failed(); sequence++) {
		size_t count = (size_t)g_rand_int_range(random, 1, MAX_OPS + 1);
		struct op ops[MAX_OPS];
		char failure[200];

		for (size_t i = 0; i < count; i++)
			ops[i] = (struct op){.kind = draw_kind(random),
					     .a = g_rand_int(random),
					     .b = g_rand_int(random)};
		if (!sequence_passes(ops, count, failure))
			report(ops, count, sequence, failure);
	}
	g_rand_free(random);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-diff/readers-agree", test_readers_agree);
	return g_test_run();
}
