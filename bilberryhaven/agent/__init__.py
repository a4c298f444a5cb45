"""The role beside a backend server: admission and reports."""
