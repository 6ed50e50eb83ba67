#include "channel.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

enum {
	QUEUE_LIMIT_MESSAGES = 100000, /* with a full queue a send fails instead of blocking */
	RECONNECT_INITIAL_MS = 50,
	RECONNECT_MAX_MS = 1000,
};

static enum status open_socket(void *zmq_context, int type, struct channel *channel,
			       struct error *err)
{
	const int options[][2] = {
		{ZMQ_LINGER, 0},
		{ZMQ_SNDHWM, QUEUE_LIMIT_MESSAGES},
		{ZMQ_RCVHWM, QUEUE_LIMIT_MESSAGES},
		{ZMQ_RECONNECT_IVL, RECONNECT_INITIAL_MS},
		{ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS},
	};
	int64_t max_bytes = CHANNEL_MAX_MESSAGE_BYTES;

	channel->socket = zmq_socket(zmq_context, type);
	if (!channel->socket)
		return error_set(err, STATUS_NETWORK, "cannot create a socket: %s",
				 zmq_strerror(errno));
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		zmq_setsockopt(channel->socket, options[i][0], &options[i][1], sizeof(int));
	zmq_setsockopt(channel->socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	return STATUS_OK;
}

enum status channel_bind(void *zmq_context, const char *address, struct channel *channel,
			 struct error *err)
{
	int on = 1;
	enum status status = open_socket(zmq_context, ZMQ_ROUTER, channel, err);

	if (status != STATUS_OK)
		return status;
	channel->is_router = true;
	/* Without this option a message to a closed connection would be dropped silently. */
	zmq_setsockopt(channel->socket, ZMQ_ROUTER_MANDATORY, &on, sizeof(on));
	if (zmq_bind(channel->socket, address) == 0)
		return STATUS_OK;
	status = error_set(err, STATUS_NETWORK, "cannot bind to %s: %s", address,
			   zmq_strerror(errno));
	channel_close(channel);
	return status;
}

enum status channel_connect(void *zmq_context, const char *address, struct channel *channel,
			    struct error *err)
{
	enum status status = open_socket(zmq_context, ZMQ_DEALER, channel, err);

	if (status != STATUS_OK)
		return status;
	channel->is_router = false;
	if (zmq_connect(channel->socket, address) == 0)
		return STATUS_OK;
	status = error_set(err, STATUS_NETWORK, "cannot connect to %s: %s", address,
			   zmq_strerror(errno));
	channel_close(channel);
	return status;
}

void channel_close(struct channel *channel)
{
	if (channel->socket)
		zmq_close(channel->socket);
	channel->socket = NULL;
}

/* Frees FRAME and returns the error of the failed send. */
static enum status fail_send(zmq_msg_t *frame, struct error *err)
{
	int reason = errno;

	zmq_msg_close(frame);
	return error_set(err, STATUS_NETWORK, "cannot send: %s", zmq_strerror(reason));
}

enum status channel_send(struct channel *channel, const struct channel_route *route,
			 const Gg__Envelope *envelope, struct error *err)
{
	zmq_msg_t frame;

	if (channel->is_router) {
		if (zmq_send(channel->socket, route->bytes, route->length,
			     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
			return error_set(err, STATUS_NETWORK, "cannot send: %s",
					 zmq_strerror(errno));
	}
	zmq_msg_init_size(&frame, gg__envelope__get_packed_size(envelope));
	gg__envelope__pack(envelope, zmq_msg_data(&frame));
	if (zmq_msg_send(&frame, channel->socket, ZMQ_DONTWAIT) < 0)
		return fail_send(&frame, err);
	return STATUS_OK;
}

static bool has_more_frames(struct channel *channel)
{
	int more = 0;
	size_t size = sizeof(more);

	zmq_getsockopt(channel->socket, ZMQ_RCVMORE, &more, &size);
	return more != 0;
}

/* Discards the remaining frames of the current message. Returns whether there were any. */
static bool discard_extra_frames(struct channel *channel)
{
	bool discarded = false;

	while (has_more_frames(channel)) {
		zmq_recv(channel->socket, NULL, 0, ZMQ_DONTWAIT);
		discarded = true;
	}
	return discarded;
}

static enum status receive_route(struct channel *channel, struct channel_route *route,
				 struct error *err)
{
	int length = zmq_recv(channel->socket, route->bytes, sizeof(route->bytes), ZMQ_DONTWAIT);

	if (length < 0)
		return error_set(err, STATUS_NOT_FOUND, "no message");
	if (length > CHANNEL_ROUTE_BYTES || !has_more_frames(channel)) {
		discard_extra_frames(channel);
		return error_set(err, STATUS_INVALID_MESSAGE,
				 "message without a body or with an oversized route");
	}
	route->length = (uint8_t)length;
	return STATUS_OK;
}

enum status channel_receive(struct channel *channel, struct channel_route *route,
			    Gg__Envelope **envelope, struct error *err)
{
	enum status status;
	zmq_msg_t frame;

	if (channel->is_router) {
		status = receive_route(channel, route, err);
		if (status != STATUS_OK)
			return status;
	}
	zmq_msg_init(&frame);
	if (zmq_msg_recv(&frame, channel->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&frame);
		return error_set(err, STATUS_NOT_FOUND, "no message");
	}
	if (discard_extra_frames(channel))
		status = error_set(err, STATUS_INVALID_MESSAGE, "message with more than one frame");
	else
		status = channel_decode(zmq_msg_data(&frame), zmq_msg_size(&frame), envelope, err);
	zmq_msg_close(&frame);
	return status;
}

void channel_free_envelope(Gg__Envelope *envelope)
{
	gg__envelope__free_unpacked(envelope, NULL);
}

static bool ident_sizes_valid(const Gg__Envelope *envelope)
{
	if (envelope->sender.len != IDENT_BYTES)
		return false;
	if (envelope->body_case == GG__ENVELOPE__BODY_START_BATCH) {
		for (size_t i = 0; i < envelope->start_batch->n_starts; i++) {
			if (envelope->start_batch->starts[i]->job.len != IDENT_BYTES)
				return false;
		}
	}
	if (envelope->body_case == GG__ENVELOPE__BODY_WELCOME) {
		for (size_t i = 0; i < envelope->welcome->n_entries; i++) {
			if (envelope->welcome->entries[i]->incarnation.len != IDENT_BYTES)
				return false;
		}
	}
	return true;
}

enum status channel_decode(const uint8_t *data, size_t length, Gg__Envelope **envelope,
			   struct error *err)
{
	Gg__Envelope *decoded = gg__envelope__unpack(NULL, length, data);

	if (!decoded)
		return error_set(err, STATUS_INVALID_MESSAGE,
				 "cannot decode %zu bytes as an envelope", length);
	if (decoded->body_case == GG__ENVELOPE__BODY__NOT_SET || !ident_sizes_valid(decoded)) {
		channel_free_envelope(decoded);
		return error_set(err, STATUS_INVALID_MESSAGE,
				 "envelope without a body or with an identifier of the wrong size");
	}
	*envelope = decoded;
	return STATUS_OK;
}

bool channel_get_ident(const ProtobufCBinaryData *field, struct ident *id)
{
	if (field->len != IDENT_BYTES)
		return false;
	memcpy(id->bytes, field->data, IDENT_BYTES);
	return true;
}

ProtobufCBinaryData channel_ident_field(const struct ident *id)
{
	return (ProtobufCBinaryData){.len = IDENT_BYTES, .data = (uint8_t *)id->bytes};
}
