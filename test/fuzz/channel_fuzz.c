#include <stdint.h>
#include <stdlib.h>

#include "channel.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
size_t LLVMFuzzerMutate(uint8_t *data, size_t size, size_t max_size);
size_t LLVMFuzzerCustomMutator(uint8_t *data, size_t size, size_t max_size, unsigned int seed);

enum {
	SAMPLE_COUNT = 8,
	SAMPLE_ONE_IN = 8
};

static uint8_t sample_id[IDENT_BYTES] = {1, 2, 3};

/* Packs a valid envelope into DATA. INDEX % SAMPLE_COUNT selects the kind of its body. Returns the
 * packed size in bytes, or 0 if it exceeds MAX_SIZE. */
static size_t pack_sample(unsigned int index, uint8_t *data, size_t max_size)
{
	ProtobufCBinaryData id = {.len = sizeof(sample_id), .data = sample_id};
	Gg__ServerInfo server = GG__SERVER_INFO__INIT;
	Gg__Hello hello = GG__HELLO__INIT;
	Gg__PeerInfo peer = GG__PEER_INFO__INIT;
	Gg__PeerInfo *peers[] = {&peer};
	Gg__Welcome welcome = GG__WELCOME__INIT;
	Gg__Start start = GG__START__INIT;
	Gg__Start *starts[] = {&start, &start};
	Gg__StartBatch start_batch = GG__START_BATCH__INIT;
	Gg__Result result = GG__RESULT__INIT;
	Gg__Result *results[] = {&result, &result};
	Gg__ResultBatch result_batch = GG__RESULT_BATCH__INIT;
	uint64_t seqs[] = {1, 300};
	Gg__Reconcile reconcile = GG__RECONCILE__INIT;
	Gg__Forward forward = GG__FORWARD__INIT;
	Gg__ConfigState state = GG__CONFIG_STATE__INIT;
	Gg__Goodbye goodbye = GG__GOODBYE__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	const struct {
		Gg__Envelope__BodyCase body_case;
		void *body;
	} bodies[SAMPLE_COUNT] = {
		{GG__ENVELOPE__BODY_HELLO, &hello},
		{GG__ENVELOPE__BODY_WELCOME, &welcome},
		{GG__ENVELOPE__BODY_START_BATCH, &start_batch},
		{GG__ENVELOPE__BODY_RESULT_BATCH, &result_batch},
		{GG__ENVELOPE__BODY_RECONCILE, &reconcile},
		{GG__ENVELOPE__BODY_FORWARD, &forward},
		{GG__ENVELOPE__BODY_CONFIG_STATE, &state},
		{GG__ENVELOPE__BODY_GOODBYE, &goodbye},
	};

	server.slots = 8;
	hello.server = &server;
	peer.incarnation = id;
	welcome.entries = peers;
	welcome.n_entries = 1;
	start.seq = 7;
	start.job = id;
	start.body = id;
	start_batch.starts = starts;
	start_batch.n_starts = 2;
	result.body = id;
	result_batch.results = results;
	result_batch.n_results = 2;
	reconcile.outstanding = seqs;
	reconcile.n_outstanding = 2;
	forward.method = "PUT";
	forward.body = id;
	state.document = "{}";
	goodbye.reason = "x";
	envelope.sender = id;
	envelope.sent_us = 123456789;
	envelope.body_case = bodies[index % SAMPLE_COUNT].body_case;
	envelope.hello = bodies[index % SAMPLE_COUNT].body;
	if (gg__envelope__get_packed_size(&envelope) > max_size)
		return 0;
	return gg__envelope__pack(&envelope, data);
}

/* Mutates an input. On average, replaces one of SAMPLE_ONE_IN inputs by a valid envelope first.
 * protobuf-c is not instrumented, so coverage alone would not lead libFuzzer to a valid envelope.
 */
size_t LLVMFuzzerCustomMutator(uint8_t *data, size_t size, size_t max_size, unsigned int seed)
{
	if (seed % SAMPLE_ONE_IN == 0)
		size = pack_sample(seed / SAMPLE_ONE_IN, data, max_size);
	return LLVMFuzzerMutate(data, size, max_size);
}

/* Returns whether every identifier that receivers copy has the expected size. */
static bool idents_are_valid(const Gg__Envelope *envelope)
{
	struct ident id;
	bool valid = channel_get_ident(&envelope->sender, &id);

	if (envelope->body_case == GG__ENVELOPE__BODY_START_BATCH) {
		for (size_t i = 0; i < envelope->start_batch->n_starts; i++)
			valid &= channel_get_ident(&envelope->start_batch->starts[i]->job, &id);
	}
	if (envelope->body_case == GG__ENVELOPE__BODY_WELCOME) {
		for (size_t i = 0; i < envelope->welcome->n_entries; i++)
			valid &=
				channel_get_ident(&envelope->welcome->entries[i]->incarnation, &id);
	}
	return valid;
}

/*
 * Checks that no input crashes the decoder and that every decoded envelope can be packed and has
 * identifiers of the right size. The packed bytes are not decoded again:
 * protobuf-c keeps an unknown field of number 0 and packs it in a form that its decoder rejects.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	Gg__Envelope *envelope;
	struct error err;
	uint8_t *packed;
	size_t length;

	if (channel_decode(data, size, &envelope, &err) != STATUS_OK)
		return 0;
	if (!idents_are_valid(envelope))
		abort();
	length = gg__envelope__get_packed_size(envelope);
	packed = malloc(length);
	if (!packed || gg__envelope__pack(envelope, packed) != length)
		abort();
	channel_free_envelope(envelope);
	free(packed);
	return 0;
}
