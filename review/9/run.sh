#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run_case_2.sh" 9
