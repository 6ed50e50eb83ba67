/* Links and one gate under random losses, delays, repeats and reconnects, against sets of what
 * happened to each start. */
#include <glib.h>
#include <stdlib.h>

#include "gate.h"
#include "link.h"
#include "sequence.h"

enum {
	PEERS = 6,
	MESSAGES = 256,
	STARTS = 256,
	LIST = 32,
	SEED = 20261204,
	RUNS = 100000,
	ROUNDS = 40, /* of exchanges after which a healed network must be quiet */
	START_BY_US = 2000000,
};

enum kind {
	START,
	SEND,
	DEMAND,
	RETURN,
	RECONCILE,
	TO_AGENT,
	TO_ENTRY,
	LOSE,
	REPEAT,
	FINISH,
	DISTRIBUTE,
	AGENT_SEND,
	RECONNECT,
	SLOTS,
	REPLACE,
	CLOSE,
	FORGET,
	TIME,
	CONFIG,
	LEAVE,
};

static const struct sequence_kind kinds[] = {
	[START] = {"start", 30},	   [SEND] = {"send", 8},
	[DEMAND] = {"demand", 6},	   [RETURN] = {"return", 2},
	[RECONCILE] = {"reconcile", 3},	   [TO_AGENT] = {"to-agent", 40},
	[TO_ENTRY] = {"to-entry", 40},	   [LOSE] = {"lose", 5},
	[REPEAT] = {"repeat", 5},	   [FINISH] = {"finish", 20},
	[DISTRIBUTE] = {"distribute", 20}, [AGENT_SEND] = {"agent-send", 20},
	[RECONNECT] = {"reconnect", 6},	   [SLOTS] = {"slots", 3},
	[REPLACE] = {"replace", 2},	   [CLOSE] = {"close", 2},
	[FORGET] = {"forget", 2},	   [TIME] = {"time", 8},
	[CONFIG] = {"config", 2},	   [LEAVE] = {"leave", 1},
};

struct result {
	uint64_t number;
	uint64_t seq;
	enum status status;
	bool not_started;
};

struct message {
	uint64_t epoch;
	int64_t sent_us;
	uint64_t config;
	uint64_t demand;
	uint64_t consumed;
	uint64_t ack;
	uint64_t granted;
	uint64_t reclaim;
	uint64_t start;	   /* sequence number, or 0 */
	uint64_t next_seq; /* of a reconcile or hello, or 0 */
	bool hello;
	uint32_t count;
	uint64_t seqs[LIST]; /* outstanding, or sealed */
	uint32_t result_count;
	struct result results[LIST];
};

struct queue {
	struct message *messages[MESSAGES];
	uint32_t count;
};

/* What happened to a start. */
struct fate {
	bool sent;
	bool seen; /* arrived, was skipped or sealed: never passes from now on */
	bool passed;
	bool running;
	bool forgotten; /* its result was dropped by a close, or the entry gave it up */
	bool not_run;	/* the entry was told so */
	uint8_t accepted;
	uint8_t lost; /* the entry was told that it may have run */
};

/* One entry incarnation. */
struct peer {
	struct link link;
	struct handle channel;
	uint64_t epoch;
	uint64_t entry_epoch;
	uint64_t sent_result; /* highest number sent on this connection */
	int64_t clock_us;     /* of the entry, less that of the agent */
	int64_t least_us;     /* smallest receive - send heard */
	uint64_t demand;
	uint64_t config;
	bool heard;
	bool live;
	bool closed;
	bool forgot; /* the entry has no link until the next hello */
	struct queue to_agent;
	struct queue to_entry;
	struct fate fates[STARTS];
};

struct world {
	struct gate *gate;
	struct gate_limits limits;
	struct peer peers[PEERS];
	uint32_t peer_count;
	int64_t now_us;
	uint64_t config;
	uint32_t slots;
	uint32_t running;
	bool leaving;
	bool in_order; /* messages of one connection keep their order */
	const char *failure;
};

static void expect(struct world *w, bool condition, const char *text)
{
	if (!condition && !w->failure)
		w->failure = text;
}

static uint64_t room(const struct world *w)
{
	return (uint64_t)w->slots * (1 + w->limits.prefetch);
}

static void put(struct queue *queue, const struct message *message)
{
	if (queue->count < MESSAGES)
		queue->messages[queue->count++] = g_memdup2(message, sizeof(*message));
}

static struct message *take_at(struct queue *queue, uint32_t index)
{
	struct message *message = queue->messages[index];

	queue->count--;
	for (uint32_t i = index; i < queue->count; i++)
		queue->messages[i] = queue->messages[i + 1];
	return message;
}

static void insert_at(struct queue *queue, uint32_t index, struct message *message)
{
	for (uint32_t i = queue->count; i > index; i--)
		queue->messages[i] = queue->messages[i - 1];
	queue->messages[index] = message;
	queue->count++;
}

/* Takes the message at INDEX, or when order is kept the first one of its connection. */
static struct message *take(struct world *w, struct queue *queue, uint32_t index)
{
	if (queue->count == 0)
		return NULL;
	index %= queue->count;
	for (uint32_t i = 0; w->in_order && i < index; i++) {
		if (queue->messages[i]->epoch == queue->messages[index]->epoch)
			index = i;
	}
	return take_at(queue, index);
}

static void clear(struct queue *queue)
{
	while (queue->count > 0)
		g_free(queue->messages[--queue->count]);
}

static void reconnect(struct world *w, struct peer *peer)
{
	struct ident entry = {{(uint8_t)(peer - w->peers + 1)}};
	struct message hello = {.hello = true};

	hello.epoch = ++peer->epoch;
	peer->sent_result = 0;
	peer->channel = gate_open_channel(w->gate, &entry, peer->epoch, w->now_us);
	peer->closed = false;
	hello.granted = gate_granted_total(w->gate, peer->channel);
	hello.next_seq = gate_next_seq(w->gate, peer->channel);
	put(&peer->to_entry, &hello);
}

static void add_peer(struct world *w, uint64_t salt)
{
	struct peer *peer = &w->peers[w->peer_count++];

	link_init(&peer->link);
	peer->live = true;
	peer->clock_us = (int64_t)(salt * (2 * (uint64_t)w->peer_count + 1));
	reconnect(w, peer);
}

static void entry_send(struct world *w, struct peer *peer, struct message *message)
{
	message->epoch = peer->entry_epoch;
	message->sent_us = (int64_t)((uint64_t)w->now_us + (uint64_t)peer->clock_us);
	message->config = peer->config;
	message->demand = peer->demand;
	message->consumed = peer->link.consumed_total;
	message->ack = peer->link.result_ack;
	if (peer->entry_epoch > 0)
		put(&peer->to_agent, message);
}

static void start(struct world *w, struct peer *peer)
{
	struct handle job = {1, 1};
	struct message message = {0};

	if (!peer->live || peer->entry_epoch == 0 || peer->link.next_seq == STARTS)
		return;
	message.start = link_record_start(&peer->link, job, 0, w->now_us);
	if (message.start == 0)
		return;
	/* After the entry forgot the agent, a number that never arrived is used again. */
	peer->fates[message.start] = (struct fate){.sent = true};
	entry_send(w, peer, &message);
}

/* Sends the results after the number AFTER, and the sealed numbers of ANSWER. */
static void agent_send(struct world *w, struct peer *peer, uint64_t after, struct message *answer)
{
	const struct gate_result *result = NULL;

	answer->epoch = peer->epoch;
	answer->granted = gate_granted_total(w->gate, peer->channel);
	while (answer->result_count < LIST &&
	       (result = gate_next_result(w->gate, peer->channel, after))) {
		answer->results[answer->result_count++] = (struct result){
			result->number, result->seq, result->status, result->not_started};
		after = result->number;
		peer->sent_result = after;
	}
	put(&peer->to_entry, answer);
}

/* Every number up to SEQ is seen from now on. */
static void see(struct peer *peer, uint64_t seq)
{
	for (uint64_t i = 1; i <= seq && i < STARTS; i++)
		peer->fates[i].seen = true;
}

static enum status expected_status(const struct world *w, const struct peer *peer,
				   const struct message *message, int64_t delay_us)
{
	if (peer->fates[message->start].seen)
		return STATUS_DUPLICATE_START;
	if (w->leaving)
		return STATUS_SERVER_LEAVING;
	if (delay_us - peer->least_us > START_BY_US)
		return STATUS_START_LATE;
	if (message->config < w->config)
		return STATUS_STALE_CONFIG;
	return w->running >= room(w) ? STATUS_NO_SLOT : STATUS_OK;
}

static void admit(struct world *w, struct peer *peer, const struct message *message,
		  int64_t delay_us)
{
	struct gate_start arrived = {message->start, message->sent_us, message->config};
	struct gate_result refusal = {.seq = message->start};
	enum status wanted = expected_status(w, peer, message, delay_us);
	struct fate *fate = &peer->fates[message->start];

	refusal.status = gate_admit(w->gate, peer->channel, &arrived, w->now_us);
	expect(w, refusal.status == wanted, "the gate decides otherwise than the model");
	see(peer, message->start);
	if (refusal.status == STATUS_OK) {
		expect(w, !fate->passed, "a sequence number passed the gate twice");
		expect(w, !fate->not_run, "a start known as not run passed the gate");
		fate->passed = fate->running = true;
		expect(w, ++w->running <= room(w), "more starts run than the slots admit");
	} else if (refusal.status != STATUS_DUPLICATE_START) {
		gate_store_refusal(w->gate, peer->channel, &refusal);
	}
	expect(w, gate_admitted_count(w->gate) == w->running, "the gate counts its starts wrongly");
}

static void reconcile(struct world *w, struct peer *peer, const struct message *message)
{
	struct message answer = {0};

	see(peer, message->next_seq - 1);
	for (uint32_t i = 0; i < message->count; i++) {
		uint64_t seq = message->seqs[i];
		enum gate_start_state state =
			gate_reconcile(w->gate, peer->channel, message->next_seq, seq);

		expect(w, (state == GATE_START_RUNNING) == peer->fates[seq].running,
		       "a reconcile and the model disagree on what runs");
		if (state == GATE_START_NOT_ADMITTED)
			answer.seqs[answer.count++] = seq;
	}
	agent_send(w, peer, 0, &answer);
}

static void agent_receive(struct world *w, struct peer *peer, const struct message *message)
{
	struct gate_header header = {message->sent_us, message->demand, message->consumed,
				     message->ack};
	int64_t delay_us = (int64_t)((uint64_t)w->now_us - (uint64_t)message->sent_us);
	bool current = !peer->closed && message->epoch >= peer->epoch;

	expect(w,
	       gate_receive_header(w->gate, peer->channel, message->epoch, &header, w->now_us) ==
		       current,
	       "a message of an old connection counts");
	if (!current)
		return;
	/* Counted from the entry's clock, so that the sums stay within 64 bits. */
	delay_us = (int64_t)((uint64_t)delay_us + (uint64_t)peer->clock_us);
	peer->least_us = peer->heard ? MIN(peer->least_us, delay_us) : delay_us;
	peer->heard = true;
	if (message->start != 0)
		admit(w, peer, message, delay_us);
	if (message->next_seq != 0)
		reconcile(w, peer, message);
}

/* The entry learns that SEQ did not run. */
static void learn_not_run(struct world *w, struct peer *peer, uint64_t seq)
{
	struct link_start ended;

	if (!link_end_start(&peer->link, seq, &ended))
		return;
	expect(w, !peer->fates[seq].passed, "a start that passed the gate is told as not run");
	peer->fates[seq].not_run = true;
}

static void entry_take_result(struct world *w, struct peer *peer, const struct result *result)
{
	struct fate *fate = &peer->fates[result->seq];
	struct link_start ended;

	if (!link_accept_result(&peer->link, result->number))
		return;
	if (result->not_started) {
		learn_not_run(w, peer, result->seq);
		return;
	}
	if (!link_end_start(&peer->link, result->seq, &ended))
		return;
	expect(w, ended.seq == result->seq, "the link ended another start");
	expect(w, !fate->running, "a result came for a start that runs");
	if (result->status == STATUS_AGENT_LOST) {
		expect(w, fate->forgotten || !fate->passed, "a result was lost without a close");
		fate->lost++;
		return;
	}
	expect(w, fate->passed, "a result came for a start that did not pass");
	fate->accepted++;
}

/* Asks about all outstanding starts. */
static void ask(struct world *w, struct peer *peer)
{
	struct message question = {.next_seq = peer->link.next_seq};
	struct link_start starts[LIST];

	question.count = MIN(link_outstanding(&peer->link, starts, LIST), LIST);
	for (uint32_t i = 0; i < question.count; i++)
		question.seqs[i] = starts[i].seq;
	entry_send(w, peer, &question);
}

static void entry_receive(struct world *w, struct peer *peer, const struct message *message)
{
	if (!peer->live)
		return;
	if (message->hello && message->epoch > peer->entry_epoch) {
		peer->entry_epoch = message->epoch;
		link_resume(&peer->link, message->next_seq, message->granted);
		peer->forgot = false;
		ask(w, peer);
	}
	if (message->epoch != peer->entry_epoch)
		return;
	link_grant(&peer->link, message->granted);
	for (uint32_t i = 0; i < message->count; i++)
		learn_not_run(w, peer, message->seqs[i]);
	for (uint32_t i = 0; i < message->result_count; i++)
		entry_take_result(w, peer, &message->results[i]);
	if (message->reclaim > 0) {
		link_return_credits(&peer->link, message->reclaim);
		entry_send(w, peer, &(struct message){0});
	}
}

static void deliver(struct world *w, struct peer *peer, bool to_agent, uint32_t index)
{
	struct message *message = take(w, to_agent ? &peer->to_agent : &peer->to_entry, index);

	if (!message)
		return;
	if (to_agent)
		agent_receive(w, peer, message);
	else
		entry_receive(w, peer, message);
	g_free(message);
}

static void finish(struct world *w, uint32_t index)
{
	for (uint32_t i = 0; i < w->peer_count * STARTS; i++) {
		struct peer *peer = &w->peers[i / STARTS];
		struct fate *fate = &peer->fates[i % STARTS];
		struct gate_result result = {.seq = i % STARTS, .body = malloc(1)};

		if (!fate->running || index-- > 0) {
			free(result.body);
			continue;
		}
		gate_finish(w->gate, peer->channel, &result);
		fate->running = false;
		fate->forgotten |= peer->closed;
		w->running--;
		return;
	}
}

/* Returns the starts that may still pass: running, on their way, or to be made with credits. */
static uint64_t possible_starts(const struct world *w)
{
	uint64_t possible = w->running;

	for (uint32_t i = 0; i < w->peer_count; i++) {
		const struct peer *peer = &w->peers[i];
		uint64_t last = 0;

		if (peer->closed || peer->forgot)
			continue;
		possible += gate_granted_total(w->gate, peer->channel) - peer->link.consumed_total;
		for (uint32_t j = 0; j < peer->to_agent.count; j++) {
			const struct message *message = peer->to_agent.messages[j];

			if (message->start <= last || message->epoch < peer->epoch)
				continue;
			last = message->start;
			possible += !peer->fates[last].seen;
		}
	}
	return possible;
}

static uint64_t total_granted(const struct world *w)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < w->peer_count; i++)
		total += gate_granted_total(w->gate, w->peers[i].channel);
	return total;
}

static void distribute(struct world *w, uint32_t capacity)
{
	struct gate_credit_change changes[PEERS];
	uint64_t before = total_granted(w);
	uint32_t count = gate_distribute_credits(w->gate, changes, capacity);

	for (uint32_t i = 0; i < count; i++) {
		struct message message = {.granted = changes[i].granted,
					  .reclaim = changes[i].reclaim};
		struct peer *peer = w->peers;

		while (!handle_equal(peer->channel, changes[i].channel))
			peer++;
		message.epoch = peer->epoch;
		put(&peer->to_entry, &message);
	}
	if (w->in_order && w->limits.silence_timeout_us == 0 && total_granted(w) > before)
		expect(w, possible_starts(w) <= room(w),
		       "more credits are out than the slots admit");
}

static void close_channel(struct world *w, struct peer *peer)
{
	gate_close_channel(w->gate, peer->channel);
	peer->closed = true;
	for (uint32_t i = 1; i < STARTS; i++)
		peer->fates[i].forgotten |= peer->fates[i].passed && !peer->fates[i].running;
}

/* The entry has not heard of the agent for long: its connections are gone, and so is the link. */
static void forget_agent(struct peer *peer)
{
	struct link_start ended;

	while (link_abandon_start(&peer->link, &ended)) {
		peer->fates[ended.seq].lost++;
		peer->fates[ended.seq].forgotten = true;
	}
	link_free(&peer->link);
	clear(&peer->to_entry);
	peer->entry_epoch = 0;
	peer->forgot = true;
}

static void lose_or_repeat(struct world *w, struct queue *queue, uint32_t index, bool repeat)
{
	struct message *copy;

	if (queue->count == 0 || queue->count == MESSAGES)
		return;
	index %= queue->count;
	if (!repeat) {
		g_free(take_at(queue, index));
		return;
	}
	copy = g_memdup2(queue->messages[index], sizeof(*copy));
	insert_at(queue, w->in_order ? index : queue->count, copy);
}

static void step_network(struct world *w, struct peer *peer, const struct step *step)
{
	struct queue *queue = step->c % 2 ? &peer->to_agent : &peer->to_entry;

	switch ((enum kind)step->kind) {
	case TO_AGENT:
		deliver(w, peer, true, step->b);
		break;
	case TO_ENTRY:
		deliver(w, peer, false, step->b);
		break;
	case LOSE:
	case REPEAT:
		lose_or_repeat(w, queue, step->b, step->kind == REPEAT);
		break;
	case RECONNECT:
		if (peer->live)
			reconnect(w, peer);
		break;
	case CLOSE:
		close_channel(w, peer);
		break;
	case TIME:
		w->now_us += step->a < 200 ? step->b * 1000 : 1500000 + step->b * 10000;
		break;
	default:
		break;
	}
}

static void step_entry(struct world *w, struct peer *peer, const struct step *step, uint64_t salt)
{
	if (!peer->live)
		return;
	switch ((enum kind)step->kind) {
	case START:
		start(w, peer);
		break;
	case SEND:
		peer->config = step->c % 2 ? w->config : peer->config;
		entry_send(w, peer, &(struct message){0});
		break;
	case DEMAND:
		peer->demand = step->b % 2 ? step->c : 0;
		break;
	case RETURN:
		link_return_credits(&peer->link, step->b % 4);
		break;
	case FORGET:
		forget_agent(peer);
		break;
	case RECONCILE:
		ask(w, peer);
		break;
	case REPLACE:
		peer->live = w->peer_count == PEERS;
		if (!peer->live)
			add_peer(w, salt);
		break;
	default:
		break;
	}
}

static void step_agent(struct world *w, struct peer *peer, const struct step *step)
{
	switch ((enum kind)step->kind) {
	case FINISH:
		finish(w, w->running ? step->b % w->running : 0);
		break;
	case DISTRIBUTE:
		distribute(w, 1 + step->b % PEERS);
		break;
	case AGENT_SEND:
		if (!peer->closed)
			agent_send(w, peer, peer->sent_result, &(struct message){0});
		break;
	case SLOTS:
		w->slots = step->b % 9;
		gate_set_slots(w->gate, w->slots);
		break;
	case CONFIG:
		gate_set_config_version(w->gate, ++w->config);
		break;
	case LEAVE:
		w->leaving = step->b % 4 == 0;
		gate_set_leaving(w->gate, w->leaving);
		break;
	default:
		break;
	}
}

/* Returns whether everything was delivered and all slots are on offer. */
static bool is_quiet(const struct world *w)
{
	uint64_t credits = 0;
	bool any_live = false;

	for (uint32_t i = 0; i < w->peer_count; i++) {
		const struct peer *peer = &w->peers[i];

		if (!peer->live)
			continue;
		any_live = true;
		credits += link_credits(&peer->link);
		if (link_outstanding(&peer->link, NULL, 0) > 0)
			return false;
	}
	return gate_unacknowledged_count(w->gate) == 0 && (credits == room(w) || !any_live);
}

static void deliver_all(struct world *w, struct peer *peer)
{
	while (peer->to_agent.count + peer->to_entry.count > 0) {
		deliver(w, peer, true, 0);
		deliver(w, peer, false, 0);
	}
}

static void exchange(struct world *w, struct peer *peer, bool renew)
{
	if (renew || peer->entry_epoch < peer->epoch || peer->closed)
		reconnect(w, peer);
	else
		ask(w, peer);
	deliver_all(w, peer);
	agent_send(w, peer, 0, &(struct message){0});
	deliver_all(w, peer);
	entry_send(w, peer, &(struct message){0});
	deliver_all(w, peer);
}

/* Lets messages flow again, with RENEW on new connections, and entries that are gone be forgotten.
 */
static void heal(struct world *w, bool renew)
{
	w->in_order = true;
	w->leaving = false;
	w->slots = MAX(w->slots, 1);
	gate_set_leaving(w->gate, false);
	gate_set_slots(w->gate, w->slots);
	for (uint32_t i = 0; i < w->peer_count; i++) {
		struct peer *peer = &w->peers[i];

		clear(&peer->to_agent);
		clear(&peer->to_entry);
		peer->demand = 0;
		peer->config = w->config;
		if (!peer->live)
			close_channel(w, peer);
	}
	for (uint32_t round = 0; round < ROUNDS && !w->failure; round++) {
		while (w->running > 0)
			finish(w, 0);
		for (uint32_t i = 0; i < w->peer_count; i++) {
			if (w->peers[i].live)
				exchange(w, &w->peers[i], renew && round == 0);
		}
		if (is_quiet(w))
			return;
		distribute(w, PEERS);
		w->now_us += 1000000;
	}
	expect(w, false, "after messages flow again, slots or results are still missing");
}

static void check_fates(struct world *w)
{
	for (uint32_t i = 0; i < w->peer_count * STARTS; i++) {
		const struct peer *peer = &w->peers[i / STARTS];
		const struct fate *fate = &peer->fates[i % STARTS];

		if (!peer->live || !fate->sent)
			continue;
		expect(w, fate->not_run + fate->accepted + fate->lost == 1,
		       "a start has not exactly one outcome");
		expect(w, !fate->passed || fate->forgotten || fate->accepted == 1,
		       "a finished result was not accepted");
	}
}

static const char *run(const struct step *steps, size_t count, uint64_t salt)
{
	struct world w = {.now_us = 1000000000,
			  .limits = {.max_start_delay_us = START_BY_US,
				     .prefetch = salt >> 8 & 1,
				     .silence_timeout_us = salt >> 9 & 1 ? 3000000 : 0},
			  .slots = 4,
			  .in_order = salt >> 10 & 1};

	w.gate = gate_new(&w.limits);
	gate_set_slots(w.gate, w.slots);
	for (uint64_t i = 0; i <= (salt >> 11) % 3; i++)
		add_peer(&w, salt);
	for (size_t i = 0; i < count && !w.failure; i++) {
		struct peer *peer = &w.peers[steps[i].a % w.peer_count];

		step_network(&w, peer, &steps[i]);
		step_entry(&w, peer, &steps[i], salt);
		step_agent(&w, peer, &steps[i]);
	}
	if (!w.failure)
		heal(&w, salt >> 16 & 1);
	if (!w.failure)
		check_fates(&w);
	for (uint32_t i = 0; i < w.peer_count; i++) {
		clear(&w.peers[i].to_agent);
		clear(&w.peers[i].to_entry);
		link_free(&w.peers[i].link);
	}
	gate_free(w.gate);
	return w.failure;
}

/* Guards against starts that pass the gate twice or after they were told as not run, credits lost
 * or granted beyond the slots, and results lost or accepted twice. */
static void test_against_model(void)
{
	const struct sequence_test test = {kinds, G_N_ELEMENTS(kinds), run};

	sequence_check(&test, SEED, RUNS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/channel-diff/against-model", test_against_model);
	return g_test_run();
}
