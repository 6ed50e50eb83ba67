/* ZeroMQ channels: ROUTER and DEALER sockets that exchange envelopes. */
#ifndef GG_CHANNEL_H
#define GG_CHANNEL_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "message.pb-c.h"
#include "status.h"

enum {
	CHANNEL_ROUTE_BYTES = 32, /* longest routing id that is accepted */
	CHANNEL_MAX_MESSAGE_BYTES = 64 << 20
};

/* Routing id by which a ROUTER socket addresses one of its connections. */
struct channel_route {
	uint8_t bytes[CHANNEL_ROUTE_BYTES];
	uint8_t length;
};

/* A socket that accepts connections (ROUTER) or makes one (DEALER). Not thread-safe: only
 * one thread may use it. */
struct channel {
	void *socket;
	bool is_router;
};

/* Creates a ROUTER socket and binds it to ADDRESS ("tcp://127.0.0.1:7000"). Returns STATUS_NETWORK
 * if no socket can be created or bound. */
enum status channel_bind(void *zmq_context, const char *address, struct channel *channel,
			 struct error *err);

/* Creates a DEALER socket that connects to ADDRESS in the background. Returns STATUS_NETWORK if no
 * socket can be created or ADDRESS is rejected. */
enum status channel_connect(void *zmq_context, const char *address, struct channel *channel,
			    struct error *err);

/* Closes the socket. Messages still queued for sending are discarded. */
void channel_close(struct channel *channel);

/*
 * Sends ENVELOPE without blocking; a ROUTER socket sends it to ROUTE. Returns STATUS_NETWORK if
 * the queue is full or, on a ROUTER socket, the connection is closed; nothing has been sent then.
 */
enum status channel_send(struct channel *channel, const struct channel_route *route,
			 const Gg__Envelope *envelope, struct error *err);

/*
 * Receives one message without blocking. Returns STATUS_OK and sets *ENVELOPE, which the caller
 * frees with channel_free_envelope. Returns STATUS_NOT_FOUND if no message is waiting or the socket
 * fails, and STATUS_INVALID_MESSAGE if the message is not a valid envelope. ROUTE, which may be
 * NULL for a DEALER socket, is set to the route of the sender.
 */
enum status channel_receive(struct channel *channel, struct channel_route *route,
			    Gg__Envelope **envelope, struct error *err);

void channel_free_envelope(Gg__Envelope *envelope);

/* Decodes LENGTH untrusted bytes. Returns STATUS_INVALID_MESSAGE if they cannot be decoded, the
 * body is missing or the sender, a job digest or an incarnation in a Welcome has the wrong size. */
enum status channel_decode(const uint8_t *data, size_t length, Gg__Envelope **envelope,
			   struct error *err);

/* Copies a 16-byte field into ID. Returns false if the field has another length. */
bool channel_get_ident(const ProtobufCBinaryData *field, struct ident *id);

/* Returns a bytes field that points to ID, which must outlive the message. */
ProtobufCBinaryData channel_ident_field(const struct ident *id);

#endif
