/* The entry role: serves HTTP requests of clients and operators, queues jobs, and communicates with
 * agents and other entries. */
#ifndef GG_ENTRY_H
#define GG_ENTRY_H

#include "daemon_defs.h"
#include "daemon_settings.h"

/*
 * Runs the entry until SIGTERM or SIGINT is received and the graceful shutdown has finished.
 * Returns EXIT_CODE_OK, EXIT_CODE_RUNTIME if the entry could not start, or EXIT_CODE_FORCED if the
 * shutdown was forced.
 */
enum exit_code entry_run(const struct daemon_settings *settings);

#endif
