#include "frame.h"

#include <arpa/inet.h>
#include <string.h>

void frame_reader_init(struct frame_reader *reader)
{
	reader->pending = g_byte_array_new();
}

void frame_reader_free(struct frame_reader *reader)
{
	if (reader->pending)
		g_byte_array_free(reader->pending, TRUE);
	reader->pending = NULL;
}

enum status frame_reader_append(struct frame_reader *reader, const char *bytes, size_t length,
				frame_callback callback, void *context)
{
	size_t at = 0;

	g_byte_array_append(reader->pending, (const guint8 *)bytes, (guint)length);
	while (reader->pending->len - at >= FRAME_HEADER_BYTES) {
		uint32_t size;

		memcpy(&size, reader->pending->data + at, sizeof(size));
		size = ntohl(size);
		if (size > FRAME_MAX_BYTES)
			return STATUS_INVALID_MESSAGE;
		if (reader->pending->len - at < FRAME_HEADER_BYTES + (size_t)size)
			break;
		if (!callback(context, reader->pending->data + at + FRAME_HEADER_BYTES, size))
			return STATUS_OK;
		at += FRAME_HEADER_BYTES + (size_t)size;
	}
	if (at > 0)
		g_byte_array_remove_range(reader->pending, 0, (guint)at);
	return STATUS_OK;
}

void frame_send(struct net_conn *conn, const void *content, size_t length)
{
	uint32_t size = htonl((uint32_t)length);

	net_conn_send(conn, &size, sizeof(size));
	net_conn_send(conn, content, length);
}
