# Plays one case of the second review: `. run-2.sh CASE` in a script of its folder.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
folder="$(mktemp -d)"
end_processes() {
    # What the stand-in has ended itself is gone; the rest is known by its settings file.
    for pids in "$folder"/*.pid; do
        [ -e "$pids" ] || continue
        while read -r pid; do
            if [ -r "/proc/$pid/cmdline" ] && grep -qaF "$folder/" "/proc/$pid/cmdline" 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null || true
            fi
        done <"$pids"
    done
    rm -rf "$folder"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
if [ ! -x target/review-2/standins-2 ] || [ ! -x target/release/celerylever-gateway ]; then
    echo "not built: see review/build-2.sh" >&2
    exit 2
fi
status=0
timeout 116 target/review-2/standins-2 "$1" "$here/record.txt" "$folder" || status=$?
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
