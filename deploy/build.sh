# Installs the locked requirements and the package into target/deps.
set -eu
deps=target/deps
if ! cmp -s requirements/runtime.txt target/runtime.txt; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --only-binary :all: \
        --require-hashes --target target/tools -r requirements/build.txt
    PYTHONPATH="$PWD/target/tools" python3 -m pip install --quiet \
        --disable-pip-version-check --only-binary :all: --no-binary quantile-python \
        --no-build-isolation --require-hashes --target "$deps" -r requirements/runtime.txt
    cp requirements/runtime.txt target/runtime.txt
fi
rm -rf "$deps/savorydyke"
cp -R src/savorydyke "$deps/savorydyke"
python3 -m compileall -q "$deps/savorydyke"
