#!/bin/sh
# Installs the locked dependencies into target/deps and copies the sources to target/app.
set -eu
if [ ! -d target/deps ] || [ deploy/requirements.lock -nt target/deps/.installed ]; then
	rm -rf target/deps
	python3 -m pip install -q --disable-pip-version-check --require-hashes \
		--target target/deps -r deploy/requirements.lock
	touch target/deps/.installed
fi
rm -rf target/app
mkdir -p target/app
cp -r packages/dandelionpond/src/dandelionpond platform/dandelionpond_platform \
	platform/run.py target/app/
find target/app -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/app
