/* The entry role: HTTP towards clients and operators, the queue, and the channels from agents and
 * other entries. */
#ifndef GG_ENTRY_H
#define GG_ENTRY_H

#include "daemon_defs.h"
#include "daemon_settings.h"

/*
 * Runs until SIGTERM or SIGINT and a graceful shutdown. Returns EXIT_CODE_OK, EXIT_CODE_RUNTIME
 * when it could not start, or EXIT_CODE_FORCED when the shutdown was cut short.
 */
enum exit_code entry_run(const struct daemon_settings *settings);

#endif
