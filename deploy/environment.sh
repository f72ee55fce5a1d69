# Sourced by `./test` and `./demo`: a virtual environment of this package for development.

# environment FOLDER EXTRA: creates the virtual environment with the package and one of its extras, in
# the current folder. It is kept until `pyproject.toml`, the interpreter or the kind of machine changes.
environment() {
    local folder=$1 extra=$2 wanted
    wanted="$(uname -m) $(python3 -VV) $(sha256sum <pyproject.toml)"
    if test "$(cat "$folder/.made-for" 2>/dev/null)" = "$wanted"; then
        return
    fi
    if test -d "$folder" && ! grep -qsF "$(uname -m) $(python3 -VV)" "$folder/.made-for"; then
        echo "made again, not of this kind of machine: $folder" >&2
    fi
    python3 -m venv --clear "$folder"
    "$folder/bin/pip" -q install -e ".[$extra]"
    echo "$wanted" >"$folder/.made-for"
}
