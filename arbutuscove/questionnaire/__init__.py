"""From a team's answers to a generated configuration."""
