#include "channel.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

enum {
	SEND_QUEUE_MESSAGES = 100000, /* beyond it a send fails rather than blocks */
	RECONNECT_FIRST_MS = 50,
	RECONNECT_LONGEST_MS = 1000,
};

static enum status open_socket(void *zmq_context, int type, struct channel *channel,
			       struct error *err)
{
	const int options[][2] = {
		{ZMQ_LINGER, 0},
		{ZMQ_SNDHWM, SEND_QUEUE_MESSAGES},
		{ZMQ_RCVHWM, SEND_QUEUE_MESSAGES},
		{ZMQ_RECONNECT_IVL, RECONNECT_FIRST_MS},
		{ZMQ_RECONNECT_IVL_MAX, RECONNECT_LONGEST_MS},
	};
	int64_t max_bytes = CHANNEL_MAX_MESSAGE_BYTES;

	channel->socket = zmq_socket(zmq_context, type);
	if (!channel->socket)
		return error_set(err, STATUS_NETWORK, "socket: %s", zmq_strerror(errno));
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		zmq_setsockopt(channel->socket, options[i][0], &options[i][1], sizeof(int));
	zmq_setsockopt(channel->socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	return STATUS_OK;
}

enum status channel_accept(void *zmq_context, const char *address, struct channel *channel,
			   struct error *err)
{
	int on = 1;
	enum status status = open_socket(zmq_context, ZMQ_ROUTER, channel, err);

	if (status != STATUS_OK)
		return status;
	channel->accepting = true;
	/* Without this option a message to a connection that is gone would be dropped unnoticed. */
	zmq_setsockopt(channel->socket, ZMQ_ROUTER_MANDATORY, &on, sizeof(on));
	if (zmq_bind(channel->socket, address) == 0)
		return STATUS_OK;
	status = error_set(err, STATUS_NETWORK, "bind %s: %s", address, zmq_strerror(errno));
	channel_close(channel);
	return status;
}

enum status channel_connect(void *zmq_context, const char *address, struct channel *channel,
			    struct error *err)
{
	enum status status = open_socket(zmq_context, ZMQ_DEALER, channel, err);

	if (status != STATUS_OK)
		return status;
	channel->accepting = false;
	if (zmq_connect(channel->socket, address) == 0)
		return STATUS_OK;
	status = error_set(err, STATUS_NETWORK, "connect %s: %s", address, zmq_strerror(errno));
	channel_close(channel);
	return status;
}

void channel_close(struct channel *channel)
{
	if (channel->socket)
		zmq_close(channel->socket);
	channel->socket = NULL;
}

static enum status send_failed(zmq_msg_t *frame, struct error *err)
{
	int reason = errno;

	zmq_msg_close(frame);
	return error_set(err, STATUS_NETWORK, "send: %s", zmq_strerror(reason));
}

enum status channel_send(struct channel *channel, const struct channel_route *route,
			 const Gg__Envelope *envelope, struct error *err)
{
	zmq_msg_t frame;

	if (channel->accepting) {
		if (zmq_send(channel->socket, route->bytes, route->length,
			     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
			return error_set(err, STATUS_NETWORK, "send: %s", zmq_strerror(errno));
	}
	zmq_msg_init_size(&frame, gg__envelope__get_packed_size(envelope));
	gg__envelope__pack(envelope, zmq_msg_data(&frame));
	if (zmq_msg_send(&frame, channel->socket, ZMQ_DONTWAIT) < 0)
		return send_failed(&frame, err);
	return STATUS_OK;
}

static bool more_parts(struct channel *channel)
{
	int more = 0;
	size_t size = sizeof(more);

	zmq_getsockopt(channel->socket, ZMQ_RCVMORE, &more, &size);
	return more != 0;
}

/* Reads and drops the frames that follow the expected ones. */
static bool drop_extra_parts(struct channel *channel)
{
	bool dropped = false;

	while (more_parts(channel)) {
		zmq_recv(channel->socket, NULL, 0, ZMQ_DONTWAIT);
		dropped = true;
	}
	return dropped;
}

static enum status receive_route(struct channel *channel, struct channel_route *route,
				 struct error *err)
{
	int length = zmq_recv(channel->socket, route->bytes, sizeof(route->bytes), ZMQ_DONTWAIT);

	if (length < 0)
		return error_set(err, STATUS_NOT_FOUND, "no message");
	if (length > CHANNEL_ROUTE_BYTES || !more_parts(channel)) {
		drop_extra_parts(channel);
		return error_set(err, STATUS_INVALID_MESSAGE, "message without a body");
	}
	route->length = (uint8_t)length;
	return STATUS_OK;
}

enum status channel_receive(struct channel *channel, struct channel_route *route,
			    Gg__Envelope **envelope, struct error *err)
{
	enum status status;
	zmq_msg_t frame;

	if (channel->accepting) {
		status = receive_route(channel, route, err);
		if (status != STATUS_OK)
			return status;
	}
	zmq_msg_init(&frame);
	if (zmq_msg_recv(&frame, channel->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&frame);
		return error_set(err, STATUS_NOT_FOUND, "no message");
	}
	if (drop_extra_parts(channel))
		status = error_set(err, STATUS_INVALID_MESSAGE, "message of several frames");
	else
		status = channel_decode(zmq_msg_data(&frame), zmq_msg_size(&frame), envelope, err);
	zmq_msg_close(&frame);
	return status;
}

void channel_free_envelope(Gg__Envelope *envelope)
{
	gg__envelope__free_unpacked(envelope, NULL);
}

static bool idents_have_size(const Gg__Envelope *envelope)
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
		return error_set(err, STATUS_INVALID_MESSAGE, "%zu bytes are no envelope", length);
	if (decoded->body_case == GG__ENVELOPE__BODY__NOT_SET || !idents_have_size(decoded)) {
		channel_free_envelope(decoded);
		return error_set(err, STATUS_INVALID_MESSAGE, "envelope without body or sender");
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

ProtobufCBinaryData channel_put_ident(const struct ident *id)
{
	return (ProtobufCBinaryData){.len = IDENT_BYTES, .data = (uint8_t *)id->bytes};
}
