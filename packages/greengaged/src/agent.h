/* The agent role: admission control and task execution for one backend server. */
#ifndef GG_AGENT_H
#define GG_AGENT_H

#include "daemon_defs.h"
#include "daemon_settings.h"

/*
 * Runs the agent until SIGTERM or SIGINT is received and the graceful shutdown has finished.
 * Returns EXIT_CODE_OK, EXIT_CODE_RUNTIME if the agent could not start, or EXIT_CODE_FORCED if the
 * shutdown was cut short by a second signal or by drain.limit_ms.
 */
enum exit_code agent_run(const struct daemon_settings *settings);

#endif
