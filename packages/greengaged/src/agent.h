/* The agent role: the gate in front of one backend server. */
#ifndef GG_AGENT_H
#define GG_AGENT_H

#include "daemon_defs.h"
#include "daemon_settings.h"

/* Runs until SIGTERM or SIGINT and a graceful shutdown. Exit codes as entry_run. */
enum exit_code agent_run(const struct daemon_settings *settings);

#endif
