#!/usr/bin/env bash
# A side machine is suspended while it runs a task, and the client sends the job again. See claim.txt.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin-2/deployment.sh"
trouble=${TROUBLE:-1}
rounds=${ROUNDS:-3}
suspend_s=3.3 # the site's largest freeze is 4.0 s
resend_s=1.3  # resendMs

server_running() { # TASK: prints the server at which it was started
	awk -v task="$1" '$3 == "start" && $4 == task {server = $2} END {print server}' "$record"
}

round() { # N
	local id server machine
	id=$(printf '5c0e7a21d94b36%02x' "$1")
	submit 0 "$id" 4 1200 &
	local client=$!
	sleep 0.2
	server=$(server_running "$id.0.0.0")
	[ "$server" ] || quit_unable "the task of $id was not started within 200 ms"
	machine=${server#i-}
	if [ "$trouble" = 1 ]; then
		note "disruption: machine side-$machine is suspended"
		kill -STOP "${pid_of[agent-$machine]}" "${pid_of[server-$machine]}"
		(
			sleep "$suspend_s"
			note "disruption: machine side-$machine wakes"
			kill -CONT "${pid_of[agent-$machine]}" "${pid_of[server-$machine]}"
		) &
	fi
	wait "$client"
	if ! grep -q "client gets $id from edge-0: 200" "$record"; then
		sleep "$resend_s"
		submit 1 "$id" 4 1200
	fi
	sleep 2
}

start_deployment
for ((i = 1; i <= rounds; i++)); do
	round "$i"
done
found=$(overlaps)
[ "$found" ] || { echo "held: no task had two runs at the same time"; exit 0; }
echo "TWICE broken:"
echo "$found"
exit 1
