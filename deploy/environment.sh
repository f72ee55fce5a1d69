# Sourced by `./test` and `./demo`: a virtual environment of this package for development.

# environment FOLDER EXTRA: creates the virtual environment with the package and one of its extras, in
# the current folder. It is kept until `pyproject.toml`, the interpreter or the kind of machine changes.
# The notes in it: `.made-for`, a copy of `pyproject.toml`; `.made-on`, the machine and the interpreter.
environment() {
    local folder=$1 extra=$2 machine
    machine="$(uname -m) $(python3 -VV)"
    if test "$(cat "$folder/.made-on" 2>/dev/null)" != "$machine"; then
        if test -d "$folder"; then
            echo "made again, not of this kind of machine: $folder" >&2
        fi
    elif cmp -s pyproject.toml "$folder/.made-for"; then
        return
    fi
    python3 -m venv --clear "$folder"
    "$folder/bin/pip" -q install -e ".[$extra]"
    cp pyproject.toml "$folder/.made-for"
    echo "$machine" >"$folder/.made-on"
}
